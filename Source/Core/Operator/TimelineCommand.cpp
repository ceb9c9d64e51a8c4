#include "Operator/TimelineCommand.h"

#include <charconv>

#include <fmt/format.h>
#include <json/json.h>

#include "Common/JsonText.h"
#include "Operator/ExitCode.h"

namespace Operator {

namespace {

    using Common::Error;
    using Common::ResultCode;

    // All pages of one entry, as one array.
    Common::Result<Json::Value> fetchEvents(const Peers::PeerClient& client, const std::string& peer, Peers::EventsRequest request)
    {
        Json::Value events(Json::arrayValue);
        try {
            while (true) {
                auto answer = client.call(peer, "events", Peers::toJson(request));
                if (!answer)
                    return answer.error();
                auto page = Peers::toEventsPage(answer.value());
                for (const auto& event : answer.value()["events"])
                    events.append(event);
                if (!page.more || page.lastSequence <= request.afterSequence)
                    return events;
                request.afterSequence = page.lastSequence;
            }
        } catch (const Json::Exception& ec) {
            return Error { ResultCode::PeerUnreachable, peer + ": the answer has another form: " + ec.what() };
        }
    }

    std::vector<Peers::TimelineEvent> merge(const PeerAnswers& answers)
    {
        std::vector<Peers::TimelineEvent> merged;
        for (const auto& [peer, events] : answers.answered) {
            Json::Value page;
            page["events"] = events;
            auto read = Peers::toEventsPage(page);
            merged.insert(merged.end(), read.events.begin(), read.events.end());
        }
        Peers::sortCausally(merged);
        return merged;
    }

    void printJson(const std::vector<Peers::TimelineEvent>& events, const PeerAnswers& answers)
    {
        Json::Value json;
        json["events"] = Json::arrayValue;
        for (const auto& event : events)
            json["events"].append(Peers::toJson(event));
        json["not_answered"] = Json::objectValue;
        for (const auto& [peer, why] : answers.failed)
            json["not_answered"][peer] = why;
        fmt::print("{}\n", Common::jsonText(json));
    }

    void printText(const std::vector<Peers::TimelineEvent>& events, const PeerAnswers& answers)
    {
        for (const auto& event : events)
            fmt::print("{}\n", describeEvent(event));
        for (const auto& [peer, why] : answers.failed)
            fmt::print(stderr, "did not answer: {}: {}\n", peer, why);
    }

}

std::optional<std::int64_t> parseSince(const std::string& text, std::int64_t nowMs)
{
    if (text.empty())
        return 0;
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc() || value < 0)
        return std::nullopt;
    constexpr std::int64_t msPerSecond = 1000;
    constexpr std::int64_t secondsPerMinute = 60;
    std::string_view unit(rest, static_cast<std::size_t>(end - rest));
    if (unit.empty())
        return value;
    if (unit == "s")
        return nowMs - value * msPerSecond;
    if (unit == "m")
        return nowMs - value * secondsPerMinute * msPerSecond;
    if (unit == "h")
        return nowMs - value * secondsPerMinute * secondsPerMinute * msPerSecond;
    return std::nullopt;
}

std::string describeEvent(const Peers::TimelineEvent& event)
{
    auto line = fmt::format("{} {} {} {} {}", event.wallMs, event.process, event.severity, event.number, event.name);
    for (const auto& field : event.fields)
        line += fmt::format(" {}={}", field.key, Json::valueToQuotedString(field.value.c_str()));
    return line;
}

int timelineCommand(const TimelineOptions& options)
{
    auto sinceMs = parseSince(options.since, Common::wallMilliseconds());
    if (!sinceMs) {
        fmt::print(stderr, "--since: expected a time such as 30s, 10m, 2h, or milliseconds since the epoch\n");
        return toInt(ExitCode::UsageError);
    }
    auto finder = PeerFinder::find(options.peers);
    if (!finder) {
        fmt::print(stderr, "{}\n", finder.error().text);
        return toInt(finder.error().code == ResultCode::SettingsInvalid ? ExitCode::InvalidFile : ExitCode::Unreachable);
    }
    Peers::EventsRequest request { .filter = { .sinceMs = *sinceMs, .request = options.request, .service = options.service } };
    auto answers = finder.value().each([&](const auto& client, const auto& peer) { return fetchEvents(client, peer, request); });
    auto events = merge(answers);
    if (options.json)
        printJson(events, answers);
    else
        printText(events, answers);
    return toInt(answers.failed.empty() ? ExitCode::Ok : ExitCode::Unreachable);
}

}
