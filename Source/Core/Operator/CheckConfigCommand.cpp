#include "Operator/CheckConfigCommand.h"

#include <algorithm>
#include <optional>

#include <fmt/format.h>
#include <json/json.h>

#include "Common/JsonText.h"
#include "Operator/ConfigurationCheck.h"
#include "Operator/ExitCode.h"
#include "Settings/GatewaySettings.h"

namespace Operator {

namespace {

    struct FileFinding {
        std::string file;
        Finding finding;
    };

    struct Report {
        std::string file;
        std::optional<std::uint64_t> version; // empty: the file could not be read
        std::optional<std::uint64_t> inForce; // empty: none was given, or it could not be read
        std::vector<FileFinding> findings;
        std::vector<EntryDifference> differences;

        void add(const std::string& from, std::vector<Finding> list)
        {
            for (auto& finding : list)
                findings.push_back({ .file = from, .finding = std::move(finding) });
        }

        std::size_t count(FindingLevel level) const
        {
            return static_cast<std::size_t>(std::count_if(findings.begin(), findings.end(), [&](const auto& it) { return it.finding.level == level; }));
        }
    };

    void addFileErrors(Report& report, const std::vector<Common::FileError>& errors)
    {
        for (const auto& error : errors)
            report.add(error.file, { { .level = FindingLevel::Error, .entry = error.key, .text = error.line > 0 ? fmt::format("line {}: {}", error.line, error.text) : error.text } });
    }

    // nullopt, with errors in the report, for a file that a gateway would reject.
    std::optional<Gateway::Configuration> readConfiguration(const std::string& path, const CheckConfigContext& context, Report& report)
    {
        std::vector<Common::FileError> errors;
        auto text = Common::readFile(path, errors);
        addFileErrors(report, errors);
        if (!text)
            return std::nullopt;
        auto reading = context.read(*text, context.seed);
        for (auto& error : reading.errors)
            report.add(path, { { .level = FindingLevel::Error, .entry = std::move(error.entry), .text = std::move(error.text) } });
        if (!reading.errors.empty())
            return std::nullopt;
        if (auto place = Common::repeatedNamePlace(*text); !place.empty())
            report.add(path, { { .level = FindingLevel::Warning, .entry = {}, .text = "an object has a name for the second time at " + place + ": gateways use the last one" } });
        return std::move(reading.configuration);
    }

    std::optional<CheckBounds> readBounds(const std::string& path, Report& report)
    {
        Settings::GatewaySettings settings;
        if (!path.empty()) {
            std::vector<Common::FileError> errors;
            auto text = Common::readFile(path, errors);
            auto parsed = text ? Settings::parseGatewaySettings(*text, path, errors) : std::nullopt;
            addFileErrors(report, errors);
            if (!parsed)
                return std::nullopt;
            settings = *parsed;
        }
        return CheckBounds { .allowanceWindow = std::chrono::milliseconds(settings.allowanceWindowMs) };
    }

    Report check(const CheckConfigArguments& arguments, const CheckConfigContext& context)
    {
        Report report { .file = arguments.file, .version = {}, .inForce = {}, .findings = {}, .differences = {} };
        auto bounds = readBounds(arguments.settings, report);
        auto configuration = readConfiguration(arguments.file, context, report);
        if (configuration) {
            report.version = configuration->version;
            if (bounds)
                report.add(arguments.file, checkConfiguration(*configuration, context.names, *bounds));
        }
        auto inForce = arguments.inForce.empty() ? std::nullopt : readConfiguration(arguments.inForce, context, report);
        if (inForce)
            report.inForce = inForce->version;
        if (configuration && inForce) {
            report.add(arguments.file, checkVersion(*inForce, *configuration, context.names));
            report.differences = compareConfigurations(*inForce, *configuration, context.names);
        }
        return report;
    }

    // Names and values come from a file: control characters must not reach a terminal.
    std::string plain(std::string_view text)
    {
        std::string out;
        for (char c : text) {
            auto isControl = static_cast<unsigned char>(c) < ' ' || c == '\x7f';
            out += isControl ? fmt::format("\\x{:02x}", static_cast<unsigned char>(c)) : std::string(1, c);
        }
        return out;
    }

    std::string valueText(const std::optional<std::string>& value)
    {
        return value ? plain(*value) : "absent";
    }

    std::string counted(std::size_t n, std::string_view what)
    {
        return fmt::format("{} {}{}", n, what, n == 1 ? "" : "s");
    }

    void printText(const Report& report, const CheckConfigContext& context)
    {
        for (const auto& [file, finding] : report.findings) {
            auto entry = finding.entry.empty() ? std::string() : plain(finding.entry) + ": ";
            context.out(fmt::format("{}: {}: {}{}", file, Common::nameOf(findingLevelNames, finding.level), entry, plain(finding.text)));
        }
        for (const auto& difference : report.differences) {
            auto text = fmt::format("{}: {}: {}", report.file, Common::nameOf(entryChangeNames, difference.change), plain(difference.entry));
            if (difference.change != EntryChange::Changed) {
                context.out(text);
                continue;
            }
            for (const auto& field : difference.fields)
                context.out(fmt::format("{}: {}: {} -> {}", text, field.field, valueText(field.before), valueText(field.after)));
        }
        auto summary = fmt::format("{}: ", report.file);
        if (report.version)
            summary += fmt::format("version {}, ", versionText(*report.version));
        if (report.inForce)
            summary += fmt::format("in force {}, ", versionText(*report.inForce));
        summary += fmt::format("{}, {}", counted(report.count(FindingLevel::Error), "error"), counted(report.count(FindingLevel::Warning), "warning"));
        if (report.version && report.inForce)
            summary += fmt::format(", {}", counted(report.differences.size(), "difference"));
        context.out(summary);
    }

    Json::Value toJson(const std::optional<std::string>& value)
    {
        return value ? Json::Value(*value) : Json::Value();
    }

    std::string toJson(const Report& report)
    {
        Json::Value json;
        json["file"] = report.file;
        json["valid"] = report.count(FindingLevel::Error) == 0;
        json["version"] = toJson(report.version ? std::optional(versionText(*report.version)) : std::nullopt);
        json["in_force"] = toJson(report.inForce ? std::optional(versionText(*report.inForce)) : std::nullopt);
        json["findings"] = Json::Value(Json::arrayValue);
        for (const auto& [file, finding] : report.findings) {
            Json::Value row;
            row["file"] = file;
            row["level"] = std::string(Common::nameOf(findingLevelNames, finding.level));
            row["entry"] = finding.entry;
            row["text"] = finding.text;
            json["findings"].append(row);
        }
        json["differences"] = Json::Value(Json::arrayValue);
        for (const auto& difference : report.differences) {
            Json::Value row;
            row["entry"] = difference.entry;
            row["change"] = std::string(Common::nameOf(entryChangeNames, difference.change));
            row["fields"] = Json::Value(Json::arrayValue);
            for (const auto& field : difference.fields) {
                Json::Value change;
                change["field"] = field.field;
                change["old"] = toJson(field.before);
                change["new"] = toJson(field.after);
                row["fields"].append(change);
            }
            json["differences"].append(row);
        }
        return Common::jsonText(json);
    }

}

int checkConfigCommand(const CheckConfigArguments& arguments, const CheckConfigContext& context)
{
    auto report = check(arguments, context);
    if (arguments.json)
        context.out(toJson(report));
    else
        printText(report, context);
    return toInt(report.count(FindingLevel::Error) == 0 ? ExitCode::Ok : ExitCode::InvalidFile);
}

}
