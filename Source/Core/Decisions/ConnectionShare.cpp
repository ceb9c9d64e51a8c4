#include "Decisions/ConnectionShare.h"

#include <algorithm>

namespace Decisions {

namespace {

    constexpr int reservePart = 10; // one in so many

}

int connectionLimit(int total, const CarrierShare& share)
{
    auto reserve = total / reservePart;
    if (share.carries && share.maxRecentCarriers != CarrierShare::noBudgetShare)
        return (total - reserve) / std::max({ 1, share.maxRecentCarriers, share.carriers });
    // An entry that has not counted the others yet sees too few of them.
    if (share.maxRecentCarriers == CarrierShare::noBudgetShare)
        return std::min(reserve, 1);
    return reserve / std::max(1, share.liveEntries);
}

}
