#pragma once

#include <optional>
#include <string_view>

#include "Common/Clock.h"

namespace Gateway {

// What a server said of its load.
struct LoadReport {
    int running = 0;
    int waiting = 0;
    int slots = 1;
    double workFactor = 1; // how many times its usual time work takes now
    Common::TimePoint at;
};

// Reads "running,waiting,slots[,percent]"; nothing when malformed or out of range.
std::optional<LoadReport> parseLoadReport(std::string_view, Common::TimePoint now);

}
