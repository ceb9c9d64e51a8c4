#include "Decisions/ServerChoice.h"

#include <algorithm>
#include <array>

namespace Decisions {

namespace {

    constexpr std::size_t adaptiveCandidates = 4;
    constexpr double firstTurnMs = 5; // spread of first turns
    constexpr int randomDraws = 4;
    constexpr std::uint64_t firstTurn = 1ULL << 32;
    constexpr double clearlyBetter = 0.75; // of another's expected time: less is noise, and following it would herd

    bool contains(std::span<ServerState* const> servers, const ServerState* server)
    {
        return std::find(servers.begin(), servers.end(), server) != servers.end();
    }

    auto orderKey(ServerState& server)
    {
        return std::tuple(server.inFlight(), server.tieBreak, server.id, &server);
    }

}

void ServerChoice::setPolicy(Records::Policy policy, const Common::Hooks& hooks)
{
    m_policy = policy;
    m_order.clear();
    m_turns.clear();
    for (auto* server : m_servers) {
        if (m_policy == Records::Policy::LeastInFlight)
            m_order.insert(orderKey(*server));
        if (m_policy == Records::Policy::Adaptive)
            enqueue(*server, hooks);
    }
}

void ServerChoice::add(ServerState& server, const Common::Hooks& hooks)
{
    server.position = m_servers.size();
    m_servers.push_back(&server);
    // Entries begin in unlike orders, or their first choices would all meet.
    server.tieBreak = Common::randomBelow(hooks, firstTurn);
    if (m_policy == Records::Policy::LeastInFlight)
        m_order.insert(orderKey(server));
    if (m_policy == Records::Policy::Adaptive)
        enqueue(server, hooks);
}

void ServerChoice::remove(ServerState& server)
{
    beforeChange(server);
    if (m_policy == Records::Policy::Adaptive)
        m_turns.erase({ server.turn, server.id, &server });
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
        return pickAdaptive(exclude, now, usual);
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

// Weighted round-robin over all servers, which spreads one entry's requests more evenly than draws can, but of the few due
// next the one clearly better is taken, and those clearly worse lose their turn.
ServerState* ServerChoice::pickAdaptive(std::span<ServerState* const> exclude, Common::TimePoint now, const PoolUsual& usual)
{
    struct Candidate {
        ServerState* server;
        double ms;
    };
    std::array<Candidate, adaptiveCandidates> candidates {};
    std::size_t n = 0;
    Candidate best {};
    for (auto it = m_turns.begin(); it != m_turns.end() && n < candidates.size(); ++it) {
        auto* server = std::get<ServerState*>(*it);
        if (contains(exclude, server))
            continue;
        candidates[n] = { .server = server, .ms = scoreServer(*server, now, usual).answerMs };
        if (!best.server || candidates[n].ms < clearlyBetter * best.ms)
            best = candidates[n];
        ++n;
    }
    m_virtualTime = std::max(m_virtualTime, std::get<double>(*m_turns.begin()));
    for (const auto& candidate : std::span(candidates.data(), n)) {
        if (candidate.server == best.server || best.ms < clearlyBetter * candidate.ms)
            passTurn(*candidate.server, now, usual);
    }
    return best.server;
}

void ServerChoice::enqueue(ServerState& server, const Common::Hooks& hooks)
{
    // Entries begin in unlike orders, or their requests would meet; and a server that was away has no arrears to work off.
    server.turn = std::max(server.turn, m_virtualTime + Common::randomUnit(hooks) * firstTurnMs / server.slots);
    m_turns.emplace(server.turn, server.id, &server);
}

void ServerChoice::passTurn(ServerState& server, Common::TimePoint now, const PoolUsual& usual)
{
    // The faster and larger, the sooner its next turn.
    auto answerMs = server.answerTime.longTermMs(now, usual.answerMs);
    auto share = server.slowStart.share(now);
    // A starting server earns no more than the usual by first answers that are quick because it is empty.
    auto turnMs = (share < 1 ? std::max(answerMs, usual.answerMs) : answerMs) / share / server.slots;
    auto node = m_turns.extract({ server.turn, server.id, &server });
    server.turn += turnMs * server.failures.penalty(now);
    node.value() = { server.turn, server.id, &server };
    m_turns.insert(std::move(node));
}

}
