#include "Decisions/Placement.h"

#include <algorithm>
#include <limits>

#include "Decisions/Decay.h"

namespace Decisions {

namespace {

    constexpr double maxNewConnectionMs = 60;
    // Time constant of the decay, for each gateway.
    constexpr auto newConnectionMemory = std::chrono::milliseconds(500);

    // Slots needed for the server's current requests and one more.
    int requiredSlots(const ServerSignal& signal)
    {
        return signal.running + signal.waiting + signal.unreported + 1;
    }

    // The slots in use at which the server gets most work done: those up to the knee, or all of them if they make up for the slowdown
    // beyond it, as on servers with few slots.
    int mostProductiveSlots(const ServerSignal& signal, const PlacementOptions& options)
    {
        auto upToKnee = std::max(1, static_cast<int>(options.kneeShare * signal.slots));
        return signal.slots > upToKnee * options.kneeFactor ? signal.slots : upToKnee;
    }

}

double expectedResponseMs(const ServerSignal& signal, double workMs, const PlacementOptions& options)
{
    auto slots = std::max(1, signal.slots);
    auto required = requiredSlots(signal);
    auto used = std::min(slots, required);
    auto work = workMs * signal.workFactor * std::max(1.0, signal.slowness);
    if (used > options.kneeShare * slots)
        work *= options.kneeFactor;
    if (signal.cold)
        work *= options.coldFactor;
    // Queued requests take the next free slot, and slots become free at a rate of slots / work per millisecond.
    auto queued = std::max(0, required - slots);
    return work + work * queued / slots;
}

double placementCostMs(const ServerSignal& signal, double workMs, const PlacementOptions& options)
{
    return expectedResponseMs(signal, workMs, options) + (signal.sameDomain ? 0 : options.crossDomainCostMs)
        + signal.failureShare * options.failureCostMs + (signal.healthy ? 0 : options.unhealthyCostMs);
}

double newConnectionCostMs(Common::Duration sinceContact, int gatewayCount)
{
    return maxNewConnectionMs * decay(sinceContact, newConnectionMemory * std::max(1, gatewayCount));
}

bool startsAtUsualSpeed(const ServerSignal& signal, const PlacementOptions& options)
{
    constexpr double maxSlowdown = 1.3; // of processing and of response times: within their ordinary spread
    constexpr double maxFailureShare = 0.1;
    auto required = requiredSlots(signal);
    return signal.healthy && !signal.cold && required <= options.kneeShare * signal.slots && signal.workFactor <= maxSlowdown
        && signal.slowness <= maxSlowdown && signal.failureShare <= maxFailureShare;
}

bool hasCapacity(const ServerSignal& signal, int priority, const PlacementOptions& options)
{
    auto required = requiredSlots(signal);
    auto limit = priority == 0 ? signal.slots : mostProductiveSlots(signal, options);
    return required <= limit;
}

std::size_t bestServer(std::span<const ServerSignal> signals, double workMs, const PlacementOptions& options)
{
    std::size_t best = 0;
    auto bestMs = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < signals.size(); ++i) {
        auto ms = placementCostMs(signals[i], workMs, options);
        if (ms < bestMs) {
            best = i;
            bestMs = ms;
        }
    }
    return best;
}

}
