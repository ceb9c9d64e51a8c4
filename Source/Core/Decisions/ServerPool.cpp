#include "Decisions/ServerPool.h"

#include <algorithm>
#include <unordered_set>

#include "Decisions/ProbePlanner.h"

namespace Decisions {

namespace {

    constexpr std::size_t maxExcluded = 16; // far above the number of attempts of one call

}

ServerPool::ServerPool(PoolOptions options, Common::Hooks hooks)
    : m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_choice(m_options.policy)
{
}

void ServerPool::setOptions(const PoolOptions& options)
{
    if (options.policy != m_options.policy)
        m_choice.setPolicy(options.policy, m_hooks);
    m_options = options;
    for (auto& [address, server] : m_servers) {
        if (!server->report || server->report->slots <= 0)
            server->slots = m_options.slots;
    }
}

void ServerPool::setServers(std::span<const ServerSpec> specs)
{
    auto now = m_hooks.now();
    // To an entry that has just started all servers are new: slow start is only for servers that join a known set.
    auto wasEmpty = m_presentCount == 0;
    std::unordered_set<std::string_view> listed;
    for (const auto& spec : specs) {
        if (!listed.insert(spec.address).second)
            continue;
        auto* known = find(spec.address);
        if (known && known->present)
            updateServer(*known, spec, now);
        else
            addServer(spec, now, !wasEmpty);
    }
    std::vector<Server*> removed;
    if (listed.size() < m_presentCount) {
        for (auto& [address, server] : m_servers) {
            if (server->present && !listed.contains(address))
                removed.push_back(server.get());
        }
    }
    std::sort(removed.begin(), removed.end(), [](const Server* a, const Server* b) { return a->id < b->id; });
    for (auto* server : removed)
        removeServer(*server);
    enforceEjectionLimit(now);
}

std::optional<Ticket> ServerPool::choose(std::span<const std::string> exclude)
{
    auto now = m_hooks.now();
    runMaintenance(now);
    std::array<Server*, maxExcluded> excluded {};
    std::size_t n = 0;
    for (const auto& address : exclude) {
        auto* server = find(address);
        if (server && n < excluded.size())
            excluded[n++] = server;
    }
    auto* server = pick({ excluded.data(), n }, now);
    if (!server)
        return std::nullopt;
    m_choice.beforeLoadChange(*server);
    auto factor = loadFactor(estimatedInFlight(*server, now, m_baseline), server->slots);
    server->openRequests.push_back({ .number = ++m_lastTicket, .sentAt = now, .loadFactor = factor });
    m_choice.afterLoadChange(*server);
    return Ticket { .number = m_lastTicket, .address = server->spec.address, .chosenAt = now };
}

void ServerPool::finish(const Ticket& ticket, const AttemptReport& report)
{
    auto* server = find(ticket.address);
    if (!server)
        return;
    m_choice.beforeLoadChange(*server);
    auto request = removeOpenRequest(*server, ticket.number);
    m_choice.afterLoadChange(*server);
    if (!request)
        return;
    if (!server->present) {
        if (server->openRequests.empty())
            m_servers.erase(ticket.address);
        return;
    }
    auto now = m_hooks.now();
    auto overdue = isStuck(Common::toMilliseconds(now - request->sentAt), m_baseline.latencyMs);
    auto signal = healthSignal(report.end, overdue);
    learnLatency(*server, *request, report.end, now);
    if (report.load)
        learnLoad(*server, *report.load, request->sentAt, now);
    learnHealth(*server, signal, now);
}

std::optional<Ticket> ServerPool::beginProbe()
{
    auto now = m_hooks.now();
    runMaintenance(now);
    Server* best = nullptr;
    auto urgency = std::pair(1.0, std::uint64_t(0));
    for (auto& [address, server] : m_servers) {
        auto serverUrgency = probeUrgency(*server, m_options.goal, now, m_baseline.latencyMs);
        // Ties are broken by the order of joining: the order of a hash table is not reproducible.
        auto key = std::pair(serverUrgency.value_or(0), ~server->id);
        if (serverUrgency && key >= urgency) {
            best = server.get();
            urgency = key;
        }
    }
    if (!best)
        return std::nullopt;
    best->probeInFlight = true;
    best->lastProbeAt = now;
    return Ticket { .number = ++m_lastTicket, .address = best->spec.address, .chosenAt = now };
}

void ServerPool::finishProbe(const Ticket& ticket, const AttemptReport& report)
{
    auto* server = find(ticket.address);
    if (!server || !server->probeInFlight || server->lastProbeAt != ticket.chosenAt)
        return;
    server->probeInFlight = false;
    if (!server->present)
        return;
    auto now = m_hooks.now();
    auto signal = healthSignal(report.end, true);
    if (report.load)
        learnLoad(*server, *report.load, ticket.chosenAt, now);
    if (signal != HealthSignal::Good) {
        learnHealth(*server, signal, now);
        return;
    }
    server->lastResponseAt = now;
    // An answered probe shows that a process accepts connections again, not that it serves requests well: it ends an ejection
    // for refused connections only.
    if (server->ejection.ejected && server->ejection.reason == EjectionReason::Refused)
        readmit(*server, now);
}

void ServerPool::applyHint(const ServerHint& hint)
{
    auto* server = find(hint.server);
    if (!server || !server->present)
        return;
    auto now = m_hooks.now();
    if (hint.kind == HintKind::Ejected) {
        // A hint counts for half of the failures that eject a server. It never ejects one alone, or the bad link of a single
        // entry could eject the server everywhere.
        server->failures.suspectByHint(now);
        return;
    }
    auto wasLeaving = server->leaving();
    if (server->drain.applyHint(hint.kind, hint.incarnation, now)) {
        m_leavingCount += server->leaving() && !wasLeaving;
        m_leavingCount -= wasLeaving && !server->leaving();
        if (hint.kind == HintKind::Live)
            server->slowStart.begin(now);
        syncChoice(*server);
        recordEvent(server->drain.draining() ? PoolEventKind::Draining : PoolEventKind::Live, *server);
        enforceEjectionLimit(now);
    }
}

std::vector<ServerHint> ServerPool::takeHints()
{
    return std::exchange(m_hints, {});
}

std::vector<PoolEvent> ServerPool::takeEvents()
{
    return std::exchange(m_events, {});
}

std::vector<ServerView> ServerPool::view() const
{
    std::vector<const Server*> servers;
    for (const auto& [address, server] : m_servers) {
        if (server->present)
            servers.push_back(server.get());
    }
    std::sort(servers.begin(), servers.end(), [](const Server* a, const Server* b) { return a->id < b->id; });
    auto now = m_hooks.now();
    std::vector<ServerView> views;
    for (const auto* server : servers) {
        views.push_back({ .address = server->spec.address,
            .failureDomain = server->spec.failureDomain,
            .inFlight = server->inFlight(),
            .eligible = server->eligible(),
            .leaving = server->leaving(),
            .ejected = server->ejection.ejected,
            .inSlowStart = server->slowStart.share(now) < 1,
            .expectedLatencyMs = server->answerTime.expectedMs(now, m_baseline.latencyMs) });
    }
    return views;
}

ServerPool::Server* ServerPool::find(const std::string& address)
{
    auto it = m_servers.find(address);
    return it == m_servers.end() ? nullptr : it->second.get();
}

ServerPool::Server* ServerPool::pick(std::span<Server* const> exclude, Common::TimePoint now)
{
    auto* server = m_choice.pick(exclude, now, m_baseline, m_hooks);
    return server ? server : pickEjected(exclude);
}

ServerPool::Server* ServerPool::pickEjected(std::span<Server* const> exclude)
{
    auto it = std::find_if(m_ejected.begin(), m_ejected.end(), [&](const auto& item) {
        return !item.second->leaving() && std::find(exclude.begin(), exclude.end(), item.second) == exclude.end();
    });
    return it == m_ejected.end() ? nullptr : it->second;
}

}
