#include "Decisions/ServerPool.h"

#include <algorithm>
#include <unordered_set>

#include "Decisions/ProbePlanner.h"

namespace Decisions {

namespace {

    constexpr std::size_t mostExcluded = 16; // attempts of one call stay far below

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
    // All servers are new to a starting entry, which says nothing of their being cold.
    auto first = m_present == 0;
    std::unordered_set<std::string_view> named;
    for (const auto& spec : specs) {
        if (!named.insert(spec.address).second)
            continue;
        auto* known = find(spec.address);
        if (known && known->present)
            update(*known, spec, now);
        else
            add(spec, now, !first);
    }
    std::vector<Server*> gone;
    if (named.size() < m_present) {
        for (auto& [address, server] : m_servers) {
            if (server->present && !named.contains(address))
                gone.push_back(server.get());
        }
    }
    std::sort(gone.begin(), gone.end(), [](const Server* a, const Server* b) { return a->id < b->id; });
    for (auto* server : gone)
        drop(*server);
    keepShare(now);
}

std::optional<Ticket> ServerPool::choose(std::span<const std::string> exclude)
{
    auto now = m_hooks.now();
    sweep(now);
    std::array<Server*, mostExcluded> excluded {};
    std::size_t n = 0;
    for (const auto& address : exclude) {
        auto* server = find(address);
        if (server && n < excluded.size())
            excluded[n++] = server;
    }
    auto* server = pick({ excluded.data(), n }, now);
    if (!server)
        return std::nullopt;
    m_choice.beforeChange(*server);
    auto factor = loadFactor(estimatedInFlight(*server, now, m_usual), server->slots);
    server->open.push_back({ .number = ++m_lastTicket, .sentAt = now, .loadFactor = factor });
    m_choice.afterChange(*server);
    return Ticket { .number = m_lastTicket, .address = server->spec.address, .chosenAt = now };
}

void ServerPool::finish(const Ticket& ticket, const AttemptReport& report)
{
    auto* server = find(ticket.address);
    if (!server)
        return;
    m_choice.beforeChange(*server);
    auto request = closeRequest(*server, ticket.number);
    m_choice.afterChange(*server);
    if (!request)
        return;
    if (!server->present) {
        if (server->open.empty())
            m_servers.erase(ticket.address);
        return;
    }
    auto now = m_hooks.now();
    auto overdue = stuck(Common::toMilliseconds(now - request->sentAt), m_usual.answerMs);
    auto sign = healthSign(report.end, overdue);
    learnTime(*server, *request, report.end, now);
    if (report.load)
        learnReport(*server, *report.load, request->sentAt, now);
    learnHealth(*server, sign, now);
}

std::optional<Ticket> ServerPool::beginProbe()
{
    auto now = m_hooks.now();
    sweep(now);
    Server* best = nullptr;
    auto urgency = std::pair(1.0, std::uint64_t(0));
    for (auto& [address, server] : m_servers) {
        auto it = probeUrgency(*server, m_options.goal, now, m_usual.answerMs);
        // Ties by the order of joining: a hash table's own order would not repeat.
        auto key = std::pair(it.value_or(0), ~server->id);
        if (it && key >= urgency) {
            best = server.get();
            urgency = key;
        }
    }
    if (!best)
        return std::nullopt;
    best->probing = true;
    best->probedAt = now;
    return Ticket { .number = ++m_lastTicket, .address = best->spec.address, .chosenAt = now };
}

void ServerPool::finishProbe(const Ticket& ticket, const AttemptReport& report)
{
    auto* server = find(ticket.address);
    if (!server || !server->probing || server->probedAt != ticket.chosenAt)
        return;
    server->probing = false;
    if (!server->present)
        return;
    auto now = m_hooks.now();
    auto sign = healthSign(report.end, true);
    if (report.load)
        learnReport(*server, *report.load, ticket.chosenAt, now);
    if (sign != HealthSign::Good) {
        learnHealth(*server, sign, now);
        return;
    }
    server->heardAt = now;
    // A probe that is answered proves that someone listens again, not that calls are answered well.
    if (server->ejection.ejected && server->ejection.reason == EjectionReason::Refused)
        giveBack(*server, now);
}

void ServerPool::applyHint(const ServerHint& hint)
{
    auto* server = find(hint.server);
    if (!server || !server->present)
        return;
    auto now = m_hooks.now();
    if (hint.kind == HintKind::Ejected) {
        // Evidence of others halves what is needed here; alone it ejects nothing, or one entry's bad link would.
        server->failures.suspect(now);
        return;
    }
    auto left = server->leaving();
    if (server->drain.applyHint(hint.kind, hint.incarnation, now)) {
        m_leaving += server->leaving() && !left;
        m_leaving -= left && !server->leaving();
        if (hint.kind == HintKind::Live)
            server->slowStart.begin(now);
        place(*server);
        tell(server->drain.draining() ? PoolEventKind::Draining : PoolEventKind::Live, *server);
        keepShare(now);
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
            .takesWork = server->takesWork(),
            .leaving = server->leaving(),
            .ejected = server->ejection.ejected,
            .starting = server->slowStart.share(now) < 1,
            .answerMs = server->answerTime.expectedMs(now, m_usual.answerMs) });
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
    auto* server = m_choice.pick(exclude, now, m_usual, m_hooks);
    return server ? server : lastResort(exclude);
}

ServerPool::Server* ServerPool::lastResort(std::span<Server* const> exclude)
{
    auto it = std::find_if(m_ejected.begin(), m_ejected.end(), [&](const auto& item) {
        return !item.second->leaving() && std::find(exclude.begin(), exclude.end(), item.second) == exclude.end();
    });
    return it == m_ejected.end() ? nullptr : it->second;
}

}
