#pragma once

#include <limits>

namespace Decisions {

// This entry's share of the budgets of one service, derived from the group membership. The carriers of a service are the
// entries that the directory names to its callers.
struct CarrierShare {
    // Value of `maxRecentCarriers` when this entry has no share of the budgets, or not yet.
    static constexpr int noBudgetShare = std::numeric_limits<int>::max();

    bool carries = true; // this entry is a carrier of the service
    int carriers = 1; // current number, at least 1
    // The highest number of carriers in the last minutes. Budgets are divided by it, so that they are kept during network
    // partitions and restarts.
    int maxRecentCarriers = 1;
    int liveEntries = 1;
};

}
