#include "Decisions/ServerChoice.h"

#include <algorithm>
#include <array>

namespace Decisions {

namespace {

    // Servers due next that the adaptive policy compares.
    constexpr std::size_t adaptiveCandidates = 4;
    constexpr double initialSpreadMs = 5; // range of the random first virtual deadlines
    constexpr int maxRandomDraws = 4; // before a linear search
    constexpr std::uint64_t firstSequence = 1ULL << 32; // above all random tie-breakers
    // Of another server's expected latency. Smaller differences are noise, and following them would cause herding.
    constexpr double clearlyBetterRatio = 0.75;

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
    m_loadOrder.clear();
    m_weightedSchedule.clear();
    for (auto* server : m_servers) {
        if (m_policy == Records::Policy::LeastInFlight)
            m_loadOrder.insert(orderKey(*server));
        if (m_policy == Records::Policy::Adaptive)
            schedule(*server, hooks);
    }
}

void ServerChoice::add(ServerState& server, const Common::Hooks& hooks)
{
    server.position = m_servers.size();
    m_servers.push_back(&server);
    // A random first order on each entry, or the first selections of all entries would fall on the same servers.
    server.tieBreak = Common::randomBelow(hooks, firstSequence);
    if (m_policy == Records::Policy::LeastInFlight)
        m_loadOrder.insert(orderKey(server));
    if (m_policy == Records::Policy::Adaptive)
        schedule(server, hooks);
}

void ServerChoice::remove(ServerState& server)
{
    beforeLoadChange(server);
    if (m_policy == Records::Policy::Adaptive)
        m_weightedSchedule.erase({ server.virtualDeadline, server.id, &server });
    m_servers[server.position] = m_servers.back();
    m_servers[server.position]->position = server.position;
    m_servers.pop_back();
    server.position = ServerState::noPosition;
}

void ServerChoice::beforeLoadChange(ServerState& server)
{
    if (m_policy == Records::Policy::LeastInFlight && server.position != ServerState::noPosition)
        m_loadOrder.erase(orderKey(server));
}

void ServerChoice::afterLoadChange(ServerState& server)
{
    if (m_policy != Records::Policy::LeastInFlight || server.position == ServerState::noPosition)
        return;
    // The server just used comes last among those with as many open requests. A random key would not change while a
    // server is idle, and would starve the servers with high keys.
    server.tieBreak = firstSequence + ++m_lastSequence;
    m_loadOrder.insert(orderKey(server));
}

ServerState* ServerChoice::pick(std::span<ServerState* const> exclude, Common::TimePoint now, const PoolBaseline& baseline, const Common::Hooks& hooks)
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
        return pickAdaptive(exclude, now, baseline);
    }
    return nullptr;
}

ServerState* ServerChoice::pickRandom(std::span<ServerState* const> exclude, const Common::Hooks& hooks) const
{
    for (int i = 0; i < maxRandomDraws; ++i) {
        auto* server = m_servers[Common::randomBelow(hooks, m_servers.size())];
        if (!contains(exclude, server))
            return server;
    }
    // Linear search from a random start. Each step but the last skips one excluded server.
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
    auto it = std::find_if(m_loadOrder.begin(), m_loadOrder.end(),
        [&](const auto& key) { return !contains(exclude, std::get<ServerState*>(key)); });
    return it == m_loadOrder.end() ? nullptr : std::get<ServerState*>(*it);
}

ServerState* ServerChoice::pickPowerOfTwo(std::span<ServerState* const> exclude, const Common::Hooks& hooks) const
{
    auto* first = pickRandom(exclude, hooks);
    auto* second = pickRandom(exclude, hooks);
    return first && second->inFlight() < first->inFlight() ? second : first;
}

// Weighted round-robin by virtual deadline, which spreads the requests of one entry more evenly than random draws do. Among
// the few servers due next, one with a clearly lower expected latency is preferred, and those clearly worse skip this round.
ServerState* ServerChoice::pickAdaptive(std::span<ServerState* const> exclude, Common::TimePoint now, const PoolBaseline& baseline)
{
    struct Candidate {
        ServerState* server;
        double ms;
    };
    std::array<Candidate, adaptiveCandidates> candidates {};
    std::size_t n = 0;
    Candidate best {};
    for (auto it = m_weightedSchedule.begin(); it != m_weightedSchedule.end() && n < candidates.size(); ++it) {
        auto* server = std::get<ServerState*>(*it);
        if (contains(exclude, server))
            continue;
        candidates[n] = { .server = server, .ms = scoreServer(*server, now, baseline).latencyMs };
        if (!best.server || candidates[n].ms < clearlyBetterRatio * best.ms)
            best = candidates[n];
        ++n;
    }
    m_virtualTime = std::max(m_virtualTime, std::get<double>(*m_weightedSchedule.begin()));
    for (const auto& candidate : std::span(candidates.data(), n)) {
        if (candidate.server == best.server || best.ms < clearlyBetterRatio * candidate.ms)
            reschedule(*candidate.server, now, baseline);
    }
    return best.server;
}

void ServerChoice::schedule(ServerState& server, const Common::Hooks& hooks)
{
    // A random offset on each entry, or the requests of all entries would fall on the same servers. A server that returns
    // starts at the current virtual time and gets no extra requests for the time it was out.
    server.virtualDeadline = std::max(server.virtualDeadline, m_virtualTime + Common::randomUnit(hooks) * initialSpreadMs / server.slots);
    m_weightedSchedule.emplace(server.virtualDeadline, server.id, &server);
}

void ServerChoice::reschedule(ServerState& server, Common::TimePoint now, const PoolBaseline& baseline)
{
    // A server with lower latency and more slots is due again sooner.
    auto latencyMs = server.answerTime.longTermMs(now, baseline.latencyMs);
    auto share = server.slowStart.share(now);
    // The first answers of a server in slow start are fast because it is empty: its weight is limited to that of a server
    // with the pool's baseline latency.
    auto periodMs = (share < 1 ? std::max(latencyMs, baseline.latencyMs) : latencyMs) / share / server.slots;
    auto node = m_weightedSchedule.extract({ server.virtualDeadline, server.id, &server });
    server.virtualDeadline += periodMs * server.failures.penalty(now);
    node.value() = { server.virtualDeadline, server.id, &server };
    m_weightedSchedule.insert(std::move(node));
}

}
