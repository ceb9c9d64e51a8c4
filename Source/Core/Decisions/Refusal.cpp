#include "Decisions/Refusal.h"

#include <algorithm>

namespace Decisions {

namespace {

    // An earlier retry would find the servers in the same state.
    constexpr double minRetryAfterMs = 30;
    // Configuration and registry arrive within about a second of the start.
    constexpr double startupRetryAfterMs = 300;
    // By then, a server that did not answer has been replaced or has recovered.
    constexpr double outageRetryAfterMs = 100;
    // Callers honour at most this share of the time until their deadline.
    constexpr double maxShareOfTimeLeft = 1.0 / 3;

}

Common::Duration retryAfter(const RefusalFacts& facts)
{
    auto base = facts.excessMs;
    if (facts.reason == RefusalReason::NotConfigured)
        base = startupRetryAfterMs;
    else if (facts.reason == RefusalReason::NoServer || facts.reason == RefusalReason::NoReport)
        base = outageRetryAfterMs;
    auto spread = std::max(minRetryAfterMs, base) * (0.5 + facts.jitter);
    return Common::fromMilliseconds(std::max(minRetryAfterMs, std::min(spread, facts.timeLeftMs * maxShareOfTimeLeft)));
}

}
