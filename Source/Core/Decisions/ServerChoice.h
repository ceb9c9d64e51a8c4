#pragma once

#include <set>
#include <span>
#include <tuple>
#include <vector>

#include "Common/Clock.h"
#include "Decisions/ServerScore.h"
#include "Decisions/ServerState.h"
#include "Records/ServiceRecord.h"

namespace Decisions {

// The eligible servers of a pool and the load-balancing policies that select one of them. A selection takes constant time,
// or time logarithmic in the number of servers for least-in-flight and adaptive.
class ServerChoice {
public:
    explicit ServerChoice(Records::Policy policy)
        : m_policy(policy)
    {
    }

    void setPolicy(Records::Policy, const Common::Hooks&);
    void add(ServerState&, const Common::Hooks&);
    void remove(ServerState&);
    // Must be called before and after each change of a server's open requests.
    void beforeLoadChange(ServerState&);
    void afterLoadChange(ServerState&);

    // Null when every server is excluded.
    ServerState* pick(std::span<ServerState* const> exclude, Common::TimePoint now, const PoolBaseline&, const Common::Hooks&);

    std::span<ServerState* const> servers() const { return m_servers; }

private:
    using LoadOrder = std::set<std::tuple<int, std::uint64_t, std::uint64_t, ServerState*>>;
    using WeightedSchedule = std::set<std::tuple<double, std::uint64_t, ServerState*>>;

    ServerState* pickRandom(std::span<ServerState* const> exclude, const Common::Hooks&) const;
    ServerState* pickRoundRobin(std::span<ServerState* const> exclude);
    ServerState* pickLeastInFlight(std::span<ServerState* const> exclude) const;
    ServerState* pickPowerOfTwo(std::span<ServerState* const> exclude, const Common::Hooks&) const;
    ServerState* pickAdaptive(std::span<ServerState* const> exclude, Common::TimePoint now, const PoolBaseline&);
    void schedule(ServerState&, const Common::Hooks&);
    void reschedule(ServerState&, Common::TimePoint now, const PoolBaseline&);

    Records::Policy m_policy;
    std::vector<ServerState*> m_servers;
    std::size_t m_cursor = 0; // next position of round-robin
    LoadOrder m_loadOrder; // least-in-flight: fewest open requests first, ties in order of last use
    std::uint64_t m_lastSequence = 0; // least-in-flight: the last tie-break value given out
    WeightedSchedule m_weightedSchedule; // adaptive: earliest virtual deadline first
    double m_virtualTime = 0; // adaptive: virtual deadline of the server due next, never decreases
};

}
