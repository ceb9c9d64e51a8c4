#pragma once

#include <optional>
#include <string_view>

#include "Common/Clock.h"

namespace Gateway {

// Load that a server reported.
struct LoadReport {
    int running = 0; // requests in execution
    int waiting = 0; // requests in the queue
    int slots = 1; // requests that may execute at once
    double workFactor = 1; // current service time as a multiple of the usual one
    Common::TimePoint at; // when this gateway received it
};

// Parses "running,waiting,slots[,percent]", where percent is the work factor in percent. nullopt if malformed or out of range.
std::optional<LoadReport> parseLoadReport(std::string_view, Common::TimePoint now);

}
