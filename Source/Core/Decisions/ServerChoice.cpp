#include "Decisions/ServerChoice.h"

#include <algorithm>

namespace Decisions {

namespace {

    constexpr int adaptiveCandidates = 5;
    constexpr int drawsEach = 2; // draws for each candidate wanted: some are excluded, or refused by slow start
    constexpr int randomDraws = 4;
    constexpr std::uint64_t firstTurn = 1ULL << 32;
    constexpr double clearlyBetter = 0.9; // of another's expected time: less is noise, and following it would herd

    bool contains(std::span<ServerState* const> servers, const ServerState* server)
    {
        return std::find(servers.begin(), servers.end(), server) != servers.end();
    }

    auto orderKey(ServerState& server)
    {
        return std::tuple(server.inFlight(), server.tieBreak, server.id, &server);
    }

}

void ServerChoice::setPolicy(Records::Policy policy)
{
    m_policy = policy;
    m_order.clear();
    if (m_policy != Records::Policy::LeastInFlight)
        return;
    for (auto* server : m_servers)
        m_order.insert(orderKey(*server));
}

void ServerChoice::add(ServerState& server, const Common::Hooks& hooks)
{
    server.position = m_servers.size();
    m_servers.push_back(&server);
    // Entries begin in unlike orders, or their first choices would all meet.
    server.tieBreak = Common::randomBelow(hooks, firstTurn);
    if (m_policy == Records::Policy::LeastInFlight)
        m_order.insert(orderKey(server));
}

void ServerChoice::remove(ServerState& server)
{
    beforeChange(server);
    m_servers[server.position] = m_servers.back();
    m_servers[server.position]->position = server.position;
    m_servers.pop_back();
    server.position = ServerState::nowhere;
}

void ServerChoice::beforeChange(ServerState& server)
{
    if (m_policy == Records::Policy::LeastInFlight && server.position != ServerState::nowhere)
        m_order.erase(orderKey(server));
}

void ServerChoice::afterChange(ServerState& server)
{
    if (m_policy != Records::Policy::LeastInFlight || server.position == ServerState::nowhere)
        return;
    // Last in turn among its equals: a random key would hold while it is idle and starve those with high ones.
    server.tieBreak = firstTurn + ++m_turn;
    m_order.insert(orderKey(server));
}

ServerState* ServerChoice::pick(std::span<ServerState* const> exclude, Common::TimePoint now, const PoolUsual& usual, const Common::Hooks& hooks)
{
    if (m_servers.empty())
        return nullptr;
    switch (m_policy) {
    case Records::Policy::Random:
        return pickRandom(exclude, hooks);
    case Records::Policy::RoundRobin:
        return pickRoundRobin(exclude);
    case Records::Policy::LeastInFlight:
        return pickLeastInFlight(exclude);
    case Records::Policy::PowerOfTwo:
        return pickPowerOfTwo(exclude, hooks);
    case Records::Policy::Adaptive:
        return pickAdaptive(exclude, now, usual, hooks);
    }
    return nullptr;
}

ServerState* ServerChoice::pickRandom(std::span<ServerState* const> exclude, const Common::Hooks& hooks) const
{
    for (int i = 0; i < randomDraws; ++i) {
        auto* server = m_servers[Common::randomBelow(hooks, m_servers.size())];
        if (!contains(exclude, server))
            return server;
    }
    // Each step passes one excluded server, so it ends after as many as there are.
    auto start = Common::randomBelow(hooks, m_servers.size());
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        auto* server = m_servers[(start + i) % m_servers.size()];
        if (!contains(exclude, server))
            return server;
    }
    return nullptr;
}

ServerState* ServerChoice::pickRoundRobin(std::span<ServerState* const> exclude)
{
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        auto* server = m_servers[m_cursor++ % m_servers.size()];
        if (!contains(exclude, server))
            return server;
    }
    return nullptr;
}

ServerState* ServerChoice::pickLeastInFlight(std::span<ServerState* const> exclude) const
{
    auto it = std::find_if(m_order.begin(), m_order.end(), [&](const auto& key) { return !contains(exclude, std::get<ServerState*>(key)); });
    return it == m_order.end() ? nullptr : std::get<ServerState*>(*it);
}

ServerState* ServerChoice::pickPowerOfTwo(std::span<ServerState* const> exclude, const Common::Hooks& hooks) const
{
    auto* first = pickRandom(exclude, hooks);
    auto* second = pickRandom(exclude, hooks);
    return first && second->inFlight() < first->inFlight() ? second : first;
}

ServerState* ServerChoice::pickAdaptive(std::span<ServerState* const> exclude, Common::TimePoint now, const PoolUsual& usual, const Common::Hooks& hooks) const
{
    ServerState* best = nullptr;
    double bestMs = 0;
    int candidates = 0;
    for (int draw = 0; draw < drawsEach * adaptiveCandidates && candidates < adaptiveCandidates; ++draw) {
        auto* server = m_servers[Common::randomBelow(hooks, m_servers.size())];
        if (contains(exclude, server))
            continue;
        auto share = server->slowStart.share(now);
        // Squared, for a server with nothing to do wins most draws it takes part in.
        if (share < 1 && Common::randomUnit(hooks) >= share * share)
            continue;
        ++candidates;
        auto ms = scoreServer(*server, now, usual).answerMs;
        if (!best || ms < clearlyBetter * bestMs) {
            best = server;
            bestMs = ms;
        }
    }
    return best ? best : pickRandom(exclude, hooks);
}

}
