#pragma once

#include <array>
#include <cstdint>

#include "Common/Clock.h"

namespace Decisions {

struct WindowedRetryBudgetOptions {
    double ratio = 0.2; // additional attempts per request, over all entries (the operators' bound)
    double slack = 75; // additional attempts per window on top of the ratio, over all entries (the operators' bound)
    Common::Duration window = std::chrono::seconds(10);
    int entries = 1; // entries that share the slack
    double margin = 0.75; // share of the bound in use: the windows of different entries are not aligned
};

// Sliding-window retry budget: bounds the additional attempts (retries and hedges) that one entry makes for one service in
// any window, so that the sum over all entries stays within the operators' bound. Not thread-safe.
class WindowedRetryBudget {
public:
    explicit WindowedRetryBudget(WindowedRetryBudgetOptions options = {})
        : m_options(options)
    {
    }

    void setEntries(int entries) { m_options.entries = entries; }
    void onRequest(Common::TimePoint now);
    // Called when another entry makes the attempts of a request that was counted here, and counts it.
    void onRequestHandedOver(Common::TimePoint now);
    // Takes one additional attempt; false when none is left in the window.
    bool take(Common::TimePoint now);
    // Additional attempts that are still available in the window.
    double available(Common::TimePoint now);

private:
    static constexpr std::size_t bucketsPerWindow = 10;

    struct Bucket {
        std::int64_t number = -1; // since the epoch; -1 while unused
        int requests = 0;
        int retries = 0; // additional attempts, hedges included
    };

    Bucket& current(Common::TimePoint now);

    WindowedRetryBudgetOptions m_options;
    std::array<Bucket, bucketsPerWindow + 1> m_buckets {}; // one extra: the oldest bucket, partly in the window, counts in full
};

}
