#pragma once

#include <memory>
#include <mutex>
#include <vector>

#include "Common/Clock.h"

namespace Common {

struct LatencyQuantiles {
    std::uint64_t count = 0;
    double sumMs = 0;
    double p50Ms = 0;
    double p90Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    double maxMs = 0;
};

// Count, sum, maximum and estimated quantiles of durations. Uses the P-square algorithm, which needs constant memory. Thread-safe.
class LatencySummary {
public:
    LatencySummary();
    ~LatencySummary();

    void add(Duration);
    LatencyQuantiles quantiles() const;

private:
    struct State;
    mutable std::mutex m_mutex;
    std::unique_ptr<State> m_state;
};

}
