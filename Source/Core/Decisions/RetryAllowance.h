#pragma once

#include <array>
#include <cstdint>

#include "Common/Clock.h"

namespace Decisions {

struct RetryAllowanceOptions {
    double ratio = 0.2; // second sends a request, over all entries (the operators' bound)
    double slack = 75; // second sends beside it in a window, over all entries (the operators' bound)
    Common::Duration window = std::chrono::seconds(10);
    int entries = 1; // that share the slack
    double margin = 0.75; // used of the bound: windows of entries do not begin together
};

// Bounds one entry's second sends to one service in any window, so that the sum over all entries stays within the bound.
// Not thread-safe.
class RetryAllowance {
public:
    explicit RetryAllowance(RetryAllowanceOptions options = {})
        : m_options(options)
    {
    }

    void setEntries(int entries) { m_options.entries = entries; }
    void onRequest(Common::TimePoint now);
    // Takes one second send; false when the window has none left.
    bool take(Common::TimePoint now);
    // Second sends left now.
    double left(Common::TimePoint now);

private:
    static constexpr std::size_t buckets = 10; // of a window

    struct Bucket {
        std::int64_t number = -1;
        int requests = 0;
        int repeats = 0;
    };

    Bucket& current(Common::TimePoint now);

    RetryAllowanceOptions m_options;
    std::array<Bucket, buckets + 1> m_buckets {}; // one more than a window: the oldest is counted whole
};

}
