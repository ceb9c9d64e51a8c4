#include "Peers/TimelineEvent.h"

#include <algorithm>
#include <tuple>

namespace Peers {

namespace {

    constexpr std::size_t pageSize = 1000;

    bool hasField(const Common::Event& event, std::string_view key, const std::string& value)
    {
        return std::any_of(event.fields.begin(), event.fields.end(), [&](const auto& field) { return field.key == key && field.value == value; });
    }

    TimelineEvent toTimeline(const std::string& process, const Common::Event& event)
    {
        const auto& row = Common::eventRow(event.id);
        return {
            .process = process,
            .sequence = event.sequence,
            .clock = event.clock,
            .wallMs = event.wallMs,
            .number = static_cast<int>(event.id),
            .name = std::string(row.name),
            .severity = std::string(Common::severityName(row.severity)),
            .fields = event.fields,
        };
    }

    TimelineEvent toTimeline(const Json::Value& json)
    {
        TimelineEvent event {
            .process = json["process"].asString(),
            .sequence = json["sequence"].asUInt64(),
            .clock = json["clock"].asUInt64(),
            .wallMs = json["time_ms"].asInt64(),
            .number = json["event"].asInt(),
            .name = json["name"].asString(),
            .severity = json["severity"].asString(),
        };
        for (const auto& key : json["fields"].getMemberNames())
            event.fields.push_back({ key, json["fields"][key].asString() });
        return event;
    }

}

bool matches(const EventFilter& filter, const Common::Event& event)
{
    return event.wallMs >= filter.sinceMs
        && (filter.request.empty() || hasField(event, "request", filter.request))
        && (filter.service.empty() || hasField(event, "service", filter.service));
}

Json::Value toJson(const EventsRequest& request)
{
    Json::Value json;
    json["after"] = Json::UInt64(request.afterSequence);
    json["since_ms"] = Json::Int64(request.filter.sinceMs);
    json["request"] = request.filter.request;
    json["service"] = request.filter.service;
    return json;
}

EventsRequest toEventsRequest(const Json::Value& json)
{
    return {
        .afterSequence = json["after"].asUInt64(),
        .filter = { .sinceMs = json["since_ms"].asInt64(), .request = json["request"].asString(), .service = json["service"].asString() },
    };
}

EventsPage readEvents(const Common::EventLog& log, const std::string& process, const EventsRequest& request)
{
    EventsPage page { .lastSequence = request.afterSequence };
    for (const auto& event : log.since(request.afterSequence)) {
        if (page.events.size() == pageSize) {
            page.more = true;
            break;
        }
        page.lastSequence = event.sequence;
        if (matches(request.filter, event))
            page.events.push_back(toTimeline(process, event));
    }
    return page;
}

Json::Value toJson(const TimelineEvent& event)
{
    Json::Value json;
    json["process"] = event.process;
    json["sequence"] = Json::UInt64(event.sequence);
    json["clock"] = Json::UInt64(event.clock);
    json["time_ms"] = Json::Int64(event.wallMs);
    json["event"] = event.number;
    json["name"] = event.name;
    json["severity"] = event.severity;
    json["fields"] = Json::objectValue;
    for (const auto& field : event.fields)
        json["fields"][field.key] = field.value;
    return json;
}

Json::Value toJson(const EventsPage& page)
{
    Json::Value json;
    json["events"] = Json::arrayValue;
    for (const auto& event : page.events)
        json["events"].append(toJson(event));
    json["last"] = Json::UInt64(page.lastSequence);
    json["more"] = page.more;
    return json;
}

EventsPage toEventsPage(const Json::Value& json)
{
    EventsPage page { .lastSequence = json["last"].asUInt64(), .more = json["more"].asBool() };
    for (const auto& event : json["events"])
        page.events.push_back(toTimeline(event));
    return page;
}

void sortCausally(std::vector<TimelineEvent>& events)
{
    std::sort(events.begin(), events.end(), [](const auto& a, const auto& b) {
        return std::tie(a.clock, a.process, a.sequence) < std::tie(b.clock, b.process, b.sequence);
    });
}

}
