#include "Decisions/ProbePlanner.h"

#include <algorithm>
#include <array>

namespace Decisions {

namespace {

    using std::chrono::milliseconds;

    struct ProbeRow {
        ProbeReason reason;
        Common::Duration latency; // goal: latency
        Common::Duration probeCost; // goal: probe-cost
    };

    // By goal: latency spends the budget on the oldest news; probe-cost only keeps servers known that no call tells of.
    constexpr std::array probeRows {
        ProbeRow { ProbeReason::Idle, milliseconds(200), milliseconds(10000) },
        ProbeRow { ProbeReason::Starting, milliseconds(200), milliseconds(1000) },
        ProbeRow { ProbeReason::Ejected, milliseconds(200), milliseconds(1000) },
        ProbeRow { ProbeReason::Suspect, milliseconds(50), milliseconds(500) },
        ProbeRow { ProbeReason::Draining, milliseconds(1000), milliseconds(5000) },
    };

    constexpr double lateAnswers = 4; // an open request this many times older than usual is a suspicion

    double ratio(Common::Duration a, Common::Duration b)
    {
        return static_cast<double>(a.count()) / static_cast<double>(b.count());
    }

}

ProbeReason probeReason(const ServerState& server, Common::TimePoint now, double usualMs)
{
    if (server.leaving())
        return ProbeReason::Draining;
    if (server.ejection.ejected)
        return ProbeReason::Ejected;
    if (server.failures.isSuspect(now) || oldestOpenRequestAgeMs(server, now) > lateAnswers * usualMs)
        return ProbeReason::Suspect;
    return server.slowStart.share(now) < 1 ? ProbeReason::Starting : ProbeReason::Idle;
}

Common::Duration probeAfter(ProbeReason reason, Records::Goal goal)
{
    auto it = std::find_if(probeRows.begin(), probeRows.end(), [&](const ProbeRow& row) { return row.reason == reason; });
    return goal == Records::Goal::Latency ? it->latency : it->probeCost;
}

std::optional<double> probeUrgency(const ServerState& server, Records::Goal goal, Common::TimePoint now, double usualMs)
{
    if (!server.present || server.probeInFlight)
        return std::nullopt;
    auto age = now - std::max(server.lastResponseAt, server.lastProbeAt);
    return ratio(age, probeAfter(probeReason(server, now, usualMs), goal));
}

}
