#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Common/Clock.h"

namespace Bench {

struct LoadOptions {
    std::vector<std::string> targets; // ip:port
    std::string path; // of every call
    double callsPerSecond = 1000;
    Common::Duration duration = std::chrono::seconds(1);
    int connections = 64;
    std::uint64_t seed = 1;
};

// What became of one call, as its caller saw it.
struct CallRecord {
    std::string id;
    int status = 0; // 0: no answer
    std::string outcome; // Cowslipledge-Outcome; empty without one
    bool ownBody = false; // whole and its own
    Common::Duration latency {}; // from the intended time
};

// Open-loop load: arrivals do not wait for answers, and latency is counted from the intended time.
std::vector<CallRecord> runLoad(const LoadOptions&);

// The value at quantile q of the latencies, in milliseconds; 0 without calls.
double latencyQuantileMs(const std::vector<CallRecord>&, double q);

}
