#pragma once

#include <limits>

namespace Decisions {

// This entry's part in one service, from membership.
struct CarrierShare {
    // As `mostCarriers`: this entry has no part in the budgets, now or yet.
    static constexpr int noShare = std::numeric_limits<int>::max();

    bool carries = true; // the directory names this entry for the service
    int carriers = 1; // entries that carry it now, at least 1
    int mostCarriers = 1; // the largest count seen in the last minutes: budgets are divided by it, so that they hold through splits and restarts
    int liveEntries = 1;
};

}
