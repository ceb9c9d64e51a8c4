#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "Operator/ExitCode.h"
#include "Operator/RecordCommands.h"
#include "Operator/RecordText.h"

namespace Operator {

namespace {

    constexpr auto askInterval = std::chrono::milliseconds(100);

    // Why the revision is not in force at an entry; empty where it is.
    std::string lackOf(const Common::Result<EntryStatus>& status, std::uint64_t revision, const std::string& service)
    {
        if (!status)
            return "does not answer: " + status.error().text;
        const auto& unknown = status.value().notUnderstood;
        if (status.value().revision < revision)
            return fmt::format("is at revision {}", status.value().revision);
        if (std::find(unknown.begin(), unknown.end(), service) != unknown.end())
            return fmt::format("does not understand the record of {}", service);
        return "";
    }

    // Live entries where the revision is not in force, with the reason.
    Common::Result<std::map<std::string, std::string>> lacking(const RecordContext& context, std::uint64_t revision, const std::string& service)
    {
        auto instances = context.platform.instances();
        if (!instances)
            return instances.error();
        std::map<std::string, std::string> found;
        for (const auto& instance : instances.value()) {
            if (instance.kind != Platform::InstanceKind::Entry || instance.leaving)
                continue;
            auto lack = lackOf(context.entryStatus(instance.address), revision, service);
            if (!lack.empty())
                found[instance.address] = lack;
        }
        return found;
    }

    int report(const RecordContext& context, std::uint64_t revision, const std::map<std::string, std::string>& lacks)
    {
        if (context.json) {
            Json::Value json;
            json["revision"] = Json::UInt64(revision);
            json["in_force"] = lacks.empty();
            json["not_in_force"] = Json::objectValue;
            for (const auto& [address, lack] : lacks)
                json["not_in_force"][address] = lack;
            context.out(lineOf(json));
        } else if (lacks.empty()) {
            context.out(fmt::format("revision {} is in force on every live entry", revision));
        }
        for (const auto& [address, lack] : lacks)
            context.err(fmt::format("{} {}", address, lack));
        return toInt(lacks.empty() ? ExitCode::Ok : ExitCode::NotInForce);
    }

}

int waitForRevision(const RecordContext& context, std::uint64_t revision, Common::Duration timeout)
{
    auto deadline = context.write.hooks.now() + timeout;
    // Which service the revision changed, where the store tells: an entry may hold it and yet not understand it.
    auto change = Records::readChange(context.platform.table, revision);
    auto service = change && change.value() ? change.value()->service : std::string();
    while (true) {
        auto lacks = lacking(context, revision, service);
        auto over = context.write.hooks.now() + askInterval >= deadline;
        if (lacks && (lacks.value().empty() || over))
            return report(context, revision, lacks.value());
        if (over) {
            context.err(fmt::format("the instance list does not answer: {}", lacks.error().text));
            return toInt(ExitCode::Unreachable);
        }
        context.write.sleep(askInterval);
    }
}

}
