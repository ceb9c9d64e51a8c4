#pragma once

#include <string>
#include <vector>

#include <json/value.h>

#include "Common/EventLog.h"

namespace Peers {

// An event as another process reports it; its number may be one that this program does not know.
struct TimelineEvent {
    std::string process;
    std::uint64_t sequence = 0;
    std::uint64_t clock = 0;
    std::int64_t wallMs = 0;
    int number = 0;
    std::string name {};
    std::string severity {};
    std::vector<Common::EventField> fields {};
};

// Which events are wanted; empty members do not filter.
struct EventFilter {
    std::int64_t sinceMs = 0; // by the logging process's wall clock
    std::string request {};
    std::string service {};
};

bool matches(const EventFilter&, const Common::Event&);

struct EventsRequest {
    std::uint64_t afterSequence = 0;
    EventFilter filter {};
};

Json::Value toJson(const EventsRequest&);
EventsRequest toEventsRequest(const Json::Value&);

// The answer to `events`: a page of events and where to go on.
struct EventsPage {
    std::vector<TimelineEvent> events {};
    std::uint64_t lastSequence = 0; // ask after it for more
    bool more = false;
};

// Answers `events` from the log of the process of that name.
EventsPage readEvents(const Common::EventLog&, const std::string& process, const EventsRequest&);
Json::Value toJson(const TimelineEvent&);
Json::Value toJson(const EventsPage&);
// Throws Json::Exception where the answer has other types.
EventsPage toEventsPage(const Json::Value&);

// In causal order: by hybrid logical clock, then process and sequence.
void sortCausally(std::vector<TimelineEvent>&);

}
