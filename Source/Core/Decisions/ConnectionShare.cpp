#include "Decisions/ConnectionShare.h"

#include <algorithm>

namespace Decisions {

namespace {

    constexpr int reserveDivisor = 10; // a tenth of the connections is for entries that do not carry the service

}

int connectionLimit(int total, const CarrierShare& share)
{
    auto reserve = total / reserveDivisor;
    if (share.carries && share.maxRecentCarriers != CarrierShare::noBudgetShare)
        return (total - reserve) / std::max({ 1, share.maxRecentCarriers, share.carriers });
    // This entry has not counted the other entries yet, so dividing by its count could exceed the reserve.
    if (share.maxRecentCarriers == CarrierShare::noBudgetShare)
        return std::min(reserve, 1);
    return reserve / std::max(1, share.liveEntries);
}

}
