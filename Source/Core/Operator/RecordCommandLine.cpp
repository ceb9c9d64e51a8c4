#include "Operator/RecordCommandLine.h"

#include <charconv>
#include <cstdlib>

#include <fmt/format.h>

#include "Common/Address.h"
#include "Operator/ExitCode.h"
#include "Operator/RecordCommands.h"
#include "Platform/HttpPlatform.h"

namespace Operator {

namespace {

    std::optional<std::uint64_t> numberOf(const std::string& text)
    {
        std::uint64_t value = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        return ec == std::errc() && end == text.data() + text.size() && !text.empty() ? std::optional(value) : std::nullopt;
    }

    int usageError(const std::string& text)
    {
        fmt::print(stderr, "{}\n", text);
        return toInt(ExitCode::UsageError);
    }

    std::string operatorName(const RecordArguments& arguments)
    {
        if (!arguments.operatorName.empty())
            return arguments.operatorName;
        const auto* user = std::getenv("USER");
        return user && *user ? user : "unknown";
    }

    RecordContext contextOf(const RecordArguments& arguments)
    {
        return {
            .platform = Platform::httpPlatform({ .address = arguments.platform }),
            .write = { .hooks = Common::systemHooks() },
            .out = [](const std::string& text) { fmt::print("{}{}", text, text.ends_with('\n') ? "" : "\n"); },
            .err = [](const std::string& text) { fmt::print(stderr, "{}{}", text, text.ends_with('\n') ? "" : "\n"); },
            .by = operatorName(arguments),
            .json = arguments.json,
        };
    }

    int writeFiles(const RecordContext& context, const RecordArguments& arguments, std::uint64_t expect)
    {
        std::vector<Common::FileError> errors;
        std::vector<Records::RecordFile> files;
        for (const auto& path : arguments.files)
            files.push_back({ .name = path, .text = Common::readFile(path, errors).value_or("") });
        for (const auto& error : errors)
            context.err(Common::describe(error));
        if (!errors.empty())
            return toInt(ExitCode::InvalidFile);
        return arguments.verb == "put" ? putRecord(context, files) : replaceRecord(context, files, expect, arguments.dryRun);
    }

    int waitCommand(const RecordContext& context, const RecordArguments& arguments)
    {
        auto revision = numberOf(arguments.revision);
        auto timeoutMs = numberOf(arguments.timeoutMs);
        if (!revision || !timeoutMs)
            return usageError("expected numbers as REVISION and --timeout-ms");
        return waitForRevision(context, *revision, std::chrono::milliseconds(*timeoutMs));
    }

}

int recordCommand(const RecordArguments& arguments)
{
    if (!Common::isAddress(arguments.platform))
        return usageError("--platform: expected an address as ip:port");
    auto expect = arguments.expect.empty() ? std::optional<std::uint64_t>(0) : numberOf(arguments.expect);
    if (!expect)
        return usageError("--expect: expected the revision of the record");
    auto context = contextOf(arguments);
    const auto& verb = arguments.verb;
    if (verb == "put" || verb == "replace")
        return writeFiles(context, arguments, *expect);
    if (verb == "retire")
        return retireRecord(context, arguments.service, *expect);
    if (verb == "get")
        return getRecord(context, arguments.service);
    if (verb == "list")
        return listRecords(context);
    if (verb == "history")
        return recordHistory(context, arguments.service);
    return waitCommand(context, arguments);
}

}
