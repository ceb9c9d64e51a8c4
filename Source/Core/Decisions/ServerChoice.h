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

// The servers that take work, and the policies that choose one of them, in constant time in the size of the pool, or
// logarithmic time for least-in-flight and adaptive.
class ServerChoice {
public:
    explicit ServerChoice(Records::Policy policy)
        : m_policy(policy)
    {
    }

    void setPolicy(Records::Policy, const Common::Hooks&);
    void add(ServerState&, const Common::Hooks&);
    void remove(ServerState&);
    // To be called around each change of a server's open requests.
    void beforeChange(ServerState&);
    void afterChange(ServerState&);

    // Nothing when all are excluded.
    ServerState* pick(std::span<ServerState* const> exclude, Common::TimePoint now, const PoolUsual&, const Common::Hooks&);

    std::span<ServerState* const> servers() const { return m_servers; }

private:
    using Order = std::set<std::tuple<int, std::uint64_t, std::uint64_t, ServerState*>>;
    using Turns = std::set<std::tuple<double, std::uint64_t, ServerState*>>;

    ServerState* pickRandom(std::span<ServerState* const> exclude, const Common::Hooks&) const;
    ServerState* pickRoundRobin(std::span<ServerState* const> exclude);
    ServerState* pickLeastInFlight(std::span<ServerState* const> exclude) const;
    ServerState* pickPowerOfTwo(std::span<ServerState* const> exclude, const Common::Hooks&) const;
    ServerState* pickAdaptive(std::span<ServerState* const> exclude, Common::TimePoint now, const PoolUsual&);
    void enqueue(ServerState&, const Common::Hooks&);
    void passTurn(ServerState&, Common::TimePoint now, const PoolUsual&);

    Records::Policy m_policy;
    std::vector<ServerState*> m_servers;
    std::size_t m_cursor = 0; // of round-robin
    Order m_order; // of least-in-flight: fewest first, ties in turn
    std::uint64_t m_turn = 0;
    Turns m_turns; // of adaptive: the server due next first
    double m_virtualTime = 0; // turn of the server due next, never falling
};

}
