#include "Operator/ExplainCommand.h"

#include <algorithm>
#include <iostream>
#include <set>
#include <vector>

#include <fmt/format.h>
#include <json/json.h>

#include "Common/JsonText.h"
#include "Operator/ExitCode.h"

namespace Operator {

namespace {

    // How far back beliefs about a server may matter for a request.
    constexpr std::int64_t contextMs = 10'000;

    // Logs may hold lines of other programs: any type is read as text.
    std::string textOf(const Json::Value& value)
    {
        return value.isConvertibleTo(Json::stringValue) ? value.asString() : Common::jsonText(value);
    }

    struct Line {
        std::int64_t timeMs = 0;
        std::string process;
        std::string name;
        Json::Value fields;

        std::string field(const char* key) const { return textOf(fields[key]); }
    };

    bool parseLine(const std::string& text, Line& line)
    {
        auto begin = text.find('{');
        if (begin == std::string::npos)
            return false;
        auto json = Common::parseJsonObject(std::string_view(text).substr(begin));
        if (!json || !(*json)["fields"].isObject())
            return false;
        const auto& time = (*json)["time_ms"];
        line = { .timeMs = time.isInt64() ? time.asInt64() : 0, .process = textOf((*json)["process"]), .name = textOf((*json)["name"]), .fields = (*json)["fields"] };
        return true;
    }

    std::string describe(const Line& line, std::int64_t zeroMs)
    {
        std::string text = fmt::format("{:+6d} ms  {:<20} {}", line.timeMs - zeroMs, line.process, line.name);
        for (const auto& key : line.fields.getMemberNames()) {
            if (key != "request")
                text += fmt::format("  {}={}", key, line.field(key.c_str()));
        }
        return text + "\n";
    }

    // Lines that change what a process believes, but name no request.
    bool isBelief(const Line& line)
    {
        return line.name.starts_with("server-") || line.name.starts_with("configuration-") || line.name.starts_with("store-") || line.name.starts_with("relay-") || line.name.starts_with("entry-");
    }

}

std::string explainRequest(const std::string& id, std::istream& logs)
{
    std::vector<Line> lines;
    Line line;
    for (std::string text; std::getline(logs, text);) {
        if (parseLine(text, line))
            lines.push_back(line);
    }
    std::stable_sort(lines.begin(), lines.end(), [](const auto& a, const auto& b) { return a.timeMs < b.timeMs; });
    std::set<std::string> processes;
    std::set<std::string> servers;
    std::int64_t first = 0;
    std::int64_t last = 0;
    for (const auto& it : lines) {
        if (it.field("request") != id)
            continue;
        first = processes.empty() ? it.timeMs : first;
        last = it.timeMs;
        processes.insert(it.process);
        servers.insert(it.field("server"));
    }
    if (processes.empty())
        return {};
    std::string text;
    for (const auto& it : lines) {
        auto isOwn = it.field("request") == id;
        auto isNear = it.timeMs >= first - contextMs && it.timeMs <= last && processes.contains(it.process);
        auto server = it.field("server");
        auto isContext = isNear && isBelief(it) && (server.empty() || servers.contains(server));
        if (isOwn || isContext)
            text += (isOwn ? "* " : "  ") + describe(it, first);
    }
    return text;
}

int explainCommand(const std::string& id)
{
    auto text = explainRequest(id, std::cin);
    if (text.empty()) {
        fmt::print(stderr, "no line names request {}; requests answered in time are not logged one by one\n", id);
        return toInt(ExitCode::Failed);
    }
    fmt::print("{}", text);
    return toInt(ExitCode::Ok);
}

}
