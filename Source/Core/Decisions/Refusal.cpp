#include "Decisions/Refusal.h"

#include <algorithm>

namespace Decisions {

namespace {

    // Below this a return meets the same servers in the same state.
    constexpr double minMs = 30;
    // Configuration and registry arrive within about a second of a start.
    constexpr double startMs = 300;
    // A server that failed to answer is replaced or has recovered.
    constexpr double outageMs = 100;
    // Of the time left: what callers honour at most.
    constexpr double shareOfTimeLeft = 1.0 / 3;

}

Common::Duration retryAfter(const RefusalFacts& facts)
{
    auto base = facts.excessMs;
    if (facts.reason == RefusalReason::NotConfigured)
        base = startMs;
    else if (facts.reason == RefusalReason::NoServer || facts.reason == RefusalReason::NoReport)
        base = outageMs;
    auto spread = std::max(minMs, base) * (0.5 + facts.jitter);
    return Common::fromMilliseconds(std::max(minMs, std::min(spread, facts.timeLeftMs * shareOfTimeLeft)));
}

}
