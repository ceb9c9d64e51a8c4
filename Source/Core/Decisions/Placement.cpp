#include "Decisions/Placement.h"

#include <algorithm>
#include <limits>

namespace Decisions {

namespace {

    // Slots that the server's requests and one more would fill.
    int slotsWanted(const ServerSignal& signal)
    {
        return signal.running + signal.waiting + signal.unreported + 1;
    }

    // A neighbour's load passes: only the work done until then is slowed.
    double workTime(double workMs, double workFactor, const PlacementOptions& options)
    {
        if (workFactor <= 1)
            return workMs * workFactor;
        auto whileNoisy = options.noiseMs * (1 - 1 / workFactor);
        return workMs + std::min(workMs * (workFactor - 1), whileNoisy);
    }

}

double expectedWaitMs(const ServerSignal& signal, double workMs, const PlacementOptions& options)
{
    auto slots = std::max(1, signal.slots);
    auto wanted = slotsWanted(signal);
    auto used = std::min(slots, wanted);
    auto work = workTime(workMs, signal.workFactor, options) * std::max(1.0, signal.slowness);
    if (used > options.kneeShare * slots)
        work *= options.kneeFactor;
    if (signal.cold)
        work *= options.coldFactor;
    // Whoever waits gets the slot that is free next: slots end work at slots / work a millisecond.
    auto queued = std::max(0, wanted - slots);
    return work + work * queued / slots;
}

double expectedMs(const ServerSignal& signal, double workMs, const PlacementOptions& options)
{
    return expectedWaitMs(signal, workMs, options) + (signal.sameDomain ? 0 : options.otherDomainMs)
        + signal.failureShare * options.failureMs + (signal.healthy ? 0 : options.unhealthyMs);
}

bool isComfortable(const ServerSignal& signal, const PlacementOptions& options)
{
    constexpr double usualFactor = 1.3; // of work and of answers: within the ordinary spread
    constexpr double fewFailures = 0.1;
    auto used = slotsWanted(signal);
    return signal.healthy && !signal.cold && used <= options.kneeShare * signal.slots && signal.workFactor <= usualFactor
        && signal.slowness <= usualFactor && signal.failureShare <= fewFailures;
}

bool hasRoom(const ServerSignal& signal, int priority, const PlacementOptions& options)
{
    auto used = slotsWanted(signal);
    auto limit = priority == 0 ? signal.slots : std::max(1, static_cast<int>(options.kneeShare * signal.slots));
    return used <= limit;
}

std::size_t bestServer(std::span<const ServerSignal> signals, double workMs, const PlacementOptions& options)
{
    std::size_t best = 0;
    auto bestMs = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < signals.size(); ++i) {
        auto ms = expectedMs(signals[i], workMs, options);
        if (ms < bestMs) {
            best = i;
            bestMs = ms;
        }
    }
    return best;
}

}
