#include <algorithm>

#include <fmt/format.h>

#include "Operator/ExitCode.h"
#include "Operator/RecordCommands.h"
#include "Operator/RecordText.h"

namespace Operator {

namespace {

    // Reads with back-off until the limit, so that a short outage does not fail a command.
    template <typename Read>
    auto retried(const RecordContext& context, Read read) -> decltype(read())
    {
        auto deadline = context.write.hooks.now() + context.write.limit;
        for (auto longest = context.write.firstBackOff;; longest = std::min(longest * 2, context.write.maxBackOff)) {
            auto found = read();
            auto wait = std::chrono::duration_cast<Common::Duration>(longest * (0.5 + 0.5 * Common::randomUnit(context.write.hooks)));
            if (found || found.error().code != Common::ResultCode::StoreUnavailable || context.write.hooks.now() + wait >= deadline)
                return found;
            context.write.sleep(wait);
        }
    }

    int unreachable(const RecordContext& context, const Common::Error& error)
    {
        context.err(fmt::format("the platform does not answer as it should: {}", error.text));
        return toInt(ExitCode::Unreachable);
    }

    std::string row(const Records::RecordChange& change)
    {
        return fmt::format("{:<10} {:<24} {:<8} {:<10} {:<21} {}", change.revision, change.service,
            Common::nameOf(Records::changeKindNames, change.kind), change.previous, timeText(change.wallMs), change.by);
    }

    void showAll(const RecordContext& context, const std::vector<Records::RecordChange>& changes)
    {
        if (context.json) {
            Json::Value json(Json::arrayValue);
            for (const auto& change : changes)
                json.append(changeJson(change));
            return context.out(lineOf(json));
        }
        context.out(fmt::format("{:<10} {:<24} {:<8} {:<10} {:<21} {}", "revision", "service", "change", "previous", "time", "by"));
        for (const auto& change : changes)
            context.out(row(change));
    }

}

int getRecord(const RecordContext& context, const std::string& service)
{
    auto found = retried(context, [&] { return Records::readRecord(context.platform.table, service); });
    if (!found)
        return unreachable(context, found.error());
    const auto& change = found.value().change;
    if (!change || change->retired()) {
        context.err(change ? fmt::format("{}: retired, {}", service, changeText(*change)) : fmt::format("{}: there is no record of this service", service));
        return toInt(ExitCode::Conflict);
    }
    // The first line is a TOML comment, so that the output of a record of one form is a record file again.
    context.out(context.json ? lineOf(changeJson(*change)) : fmt::format("# {}\n{}", changeText(*change), formsText(*change)));
    return toInt(ExitCode::Ok);
}

int listRecords(const RecordContext& context)
{
    auto image = retried(context, [&] { return Records::readImage(context.platform.table); });
    if (!image)
        return unreachable(context, image.error());
    for (const auto& key : image.value().unreadable)
        context.err(fmt::format("row {} is not of the records' layout", key));
    showAll(context, image.value().records);
    return toInt(ExitCode::Ok);
}

int recordHistory(const RecordContext& context, const std::string& service)
{
    auto found = retried(context, [&] { return Records::readHistory(context.platform.table); });
    if (!found)
        return unreachable(context, found.error());
    auto changes = std::move(found).value();
    if (!service.empty())
        std::erase_if(changes, [&](const auto& change) { return change.service != service; });
    showAll(context, changes);
    return toInt(ExitCode::Ok);
}

}
