#include "Decisions/ProbePlanner.h"

#include <algorithm>
#include <array>

namespace Decisions {

namespace {

    using std::chrono::milliseconds;

    struct ProbeIntervals {
        ProbeReason reason;
        Common::Duration latency;
        Common::Duration probeCost;
    };

    // By the service's goal: latency spends the whole budget on the servers with the oldest information; probe-cost only probes
    // servers that no traffic reports on.
    constexpr std::array probeIntervals {
        ProbeIntervals { ProbeReason::Idle, milliseconds(200), milliseconds(10000) },
        ProbeIntervals { ProbeReason::Starting, milliseconds(200), milliseconds(1000) },
        ProbeIntervals { ProbeReason::Ejected, milliseconds(200), milliseconds(1000) },
        ProbeIntervals { ProbeReason::Suspect, milliseconds(50), milliseconds(500) },
        ProbeIntervals { ProbeReason::Draining, milliseconds(1000), milliseconds(5000) },
    };

    constexpr double overdueFactor = 4; // an open request older than this multiple of the usual response time makes its server suspect

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
    if (server.failures.isSuspect(now) || oldestOpenRequestAgeMs(server, now) > overdueFactor * usualMs)
        return ProbeReason::Suspect;
    return server.slowStart.share(now) < 1 ? ProbeReason::Starting : ProbeReason::Idle;
}

Common::Duration reprobeInterval(ProbeReason reason, Records::Goal goal)
{
    auto it = std::find_if(probeIntervals.begin(), probeIntervals.end(), [&](const ProbeIntervals& row) { return row.reason == reason; });
    return goal == Records::Goal::Latency ? it->latency : it->probeCost;
}

std::optional<double> probeUrgency(const ServerState& server, Records::Goal goal, Common::TimePoint now, double usualMs)
{
    if (!server.present || server.probeInFlight)
        return std::nullopt;
    auto age = now - std::max(server.lastResponseAt, server.lastProbeAt);
    return ratio(age, reprobeInterval(probeReason(server, now, usualMs), goal));
}

}
