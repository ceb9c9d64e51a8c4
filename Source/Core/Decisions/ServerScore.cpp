#include "Decisions/ServerScore.h"

#include <algorithm>

#include "Decisions/Decay.h"

namespace Decisions {

namespace {

    // Time constant of the decay of a load report, in baseline latencies: by then the requests it counted have ended.
    constexpr double reportMemoryLatencies = 10;
    constexpr double minReportMemoryMs = 2;
    // Only this entry's own open requests are known without delay, so each counts as more than one.
    constexpr double ownRequestWeight = 2;
    // On average, a request that has been open for some time takes as long again.
    constexpr double openRequestAgeFactor = 2;

}

double estimatedInFlight(const ServerState& server, Common::TimePoint now, const PoolBaseline& baseline)
{
    auto own = static_cast<double>(server.inFlight());
    if (!server.report)
        return own;
    auto mean = baseline.loadPerSlot * server.slots;
    auto memory = Common::fromMilliseconds(std::max(minReportMemoryMs, reportMemoryLatencies * baseline.latencyMs));
    auto reported = mean + (server.report->inFlight - mean) * decay(now - server.reportedAt, memory);
    auto it = std::find_if(server.openRequests.rbegin(), server.openRequests.rend(),
        [&](const OpenRequest& request) { return request.sentAt < server.reportedAt; });
    auto sentSinceReport = static_cast<double>(it - server.openRequests.rbegin());
    return std::max(reported + sentSinceReport, own);
}

double loadFactor(double inFlight, int slots)
{
    // Linear once the slots are full. Below that, a request still finds all slots taken from time to time, more often at
    // a higher average utilization, hence the quadratic term.
    auto utilization = (inFlight + 1) / std::max(1, slots);
    return utilization < 1 ? 1 + utilization * utilization / 2 : utilization + 0.5;
}

ServerScore scoreServer(const ServerState& server, Common::TimePoint now, const PoolBaseline& baseline)
{
    auto factor = loadFactor(estimatedInFlight(server, now, baseline) + ownRequestWeight * server.inFlight(), server.slots);
    auto expected = server.answerTime.expectedMs(now, baseline.latencyMs) * factor;
    if (server.inFlight() > 0)
        expected = std::max(expected, openRequestAgeFactor * oldestOpenRequestAgeMs(server, now));
    return { .latencyMs = expected * server.failures.penalty(now), .loadFactor = factor };
}

}
