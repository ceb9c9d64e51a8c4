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
    // Bodies that are under way take a second or so of a gateway's link.
    constexpr double memoryRetryAfterMs = 1000;
    // A request that ends servers stays blocked for minutes.
    constexpr double blockedRetryAfterMs = 60000;
    // Retries after a pause are spread over this share of its remaining time.
    constexpr double pauseSpread = 0.25;
    // Callers honour at most this share of the time until their deadline.
    constexpr double maxShareOfTimeLeft = 1.0 / 3;

}

Common::Duration retryAfter(const RefusalInputs& inputs)
{
    // Spread behind the end of the pause: before it, no request can be served.
    if (inputs.reason == RefusalReason::Paused || inputs.reason == RefusalReason::Allowance)
        return Common::fromMilliseconds(std::max(minRetryAfterMs, inputs.pauseLeftMs * (1 + pauseSpread * inputs.jitter)));
    // A server whose limit is used up takes one request then, and further ones later.
    if (inputs.reason == RefusalReason::Limited)
        return Common::fromMilliseconds(std::max(minRetryAfterMs, inputs.pauseLeftMs) * (1 + inputs.jitter));
    if (inputs.reason == RefusalReason::Blocked)
        return Common::fromMilliseconds(blockedRetryAfterMs);
    if (inputs.reason == RefusalReason::Memory)
        return Common::fromMilliseconds(memoryRetryAfterMs * (0.5 + inputs.jitter));
    auto base = inputs.excessMs;
    if (inputs.reason == RefusalReason::NotConfigured)
        base = startupRetryAfterMs;
    else if (inputs.reason == RefusalReason::NoServer || inputs.reason == RefusalReason::NoReport || inputs.reason == RefusalReason::Outdated)
        base = outageRetryAfterMs;
    auto spread = std::max(minRetryAfterMs, base) * (0.5 + inputs.jitter);
    return Common::fromMilliseconds(std::max(minRetryAfterMs, std::min(spread, inputs.timeLeftMs * maxShareOfTimeLeft)));
}

}
