#include "Decisions/ServerScore.h"

#include <algorithm>

#include "Decisions/Decay.h"

namespace Decisions {

namespace {

    // A report is old news after a few answer times: by then the requests it counted have gone.
    constexpr double reportMemoryAnswers = 10;
    constexpr double shortestMemoryMs = 2;
    // Our own open requests are the only fresh news: each counts as more than one.
    constexpr double ownWeight = 2;
    // A request open for long has as much again before it, on average.
    constexpr double openAgeFactor = 2;

}

double estimatedInFlight(const ServerState& server, Common::TimePoint now, const PoolUsual& usual)
{
    auto own = static_cast<double>(server.inFlight());
    if (!server.report)
        return own;
    auto mean = usual.loadPerSlot * server.slots;
    auto memory = Common::fromMilliseconds(std::max(shortestMemoryMs, reportMemoryAnswers * usual.answerMs));
    auto reported = mean + (server.report->inFlight - mean) * decay(now - server.reportedAt, memory);
    auto it = std::find_if(server.open.rbegin(), server.open.rend(), [&](const OpenRequest& request) { return request.sentAt < server.reportedAt; });
    auto since = static_cast<double>(it - server.open.rbegin());
    return std::max(reported + since, own);
}

double loadFactor(double inFlight, int slots)
{
    // Linear once the slots are full; below that a request still meets a full server now and then, the more often the
    // fuller it is on average.
    auto use = (inFlight + 1) / std::max(1, slots);
    return use < 1 ? 1 + use * use / 2 : use + 0.5;
}

ServerScore scoreServer(const ServerState& server, Common::TimePoint now, const PoolUsual& usual)
{
    auto factor = loadFactor(estimatedInFlight(server, now, usual) + ownWeight * server.inFlight(), server.slots);
    auto expected = server.answerTime.expectedMs(now, usual.answerMs) * factor;
    if (server.inFlight() > 0)
        expected = std::max(expected, openAgeFactor * openAgeMs(server, now));
    return { .answerMs = expected * server.failures.penalty(now), .loadFactor = factor };
}

}
