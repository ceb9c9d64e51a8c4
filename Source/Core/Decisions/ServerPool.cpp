#include "Decisions/ServerPool.h"

#include <algorithm>

namespace Decisions {

ServerPool::ServerPool(PoolOptions options, Common::Hooks hooks)
    : m_options(options)
    , m_hooks(std::move(hooks))
{
}

void ServerPool::setOptions(const PoolOptions& options)
{
    m_options = options;
}

void ServerPool::setServers(std::span<const ServerSpec> specs)
{
    std::vector<Server> servers;
    for (const auto& spec : specs) {
        const auto* known = find(spec.address);
        servers.push_back(known ? *known : Server {});
        servers.back().spec = spec;
    }
    m_servers = std::move(servers);
}

std::optional<Ticket> ServerPool::choose(std::span<const std::string> exclude)
{
    auto index = pick(exclude);
    if (!index)
        return std::nullopt;
    auto& server = m_servers[*index];
    ++server.inFlight;
    return Ticket { .number = ++m_lastTicket, .address = server.spec.address, .chosenAt = m_hooks.now() };
}

void ServerPool::finish(const Ticket& ticket, const AttemptReport& report)
{
    auto* server = find(ticket.address);
    if (!server)
        return;
    server->inFlight = std::max(0, server->inFlight - 1);
    if (report.load)
        server->draining = report.load->draining;
}

std::vector<ServerView> ServerPool::view() const
{
    std::vector<ServerView> views;
    for (const auto& server : m_servers) {
        views.push_back({ .address = server.spec.address,
            .failureDomain = server.spec.failureDomain,
            .inFlight = server.inFlight,
            .takesWork = takesWork(server) });
    }
    return views;
}

std::optional<std::size_t> ServerPool::pick(std::span<const std::string> exclude)
{
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const auto& server = m_servers[i];
        if (takesWork(server) && std::find(exclude.begin(), exclude.end(), server.spec.address) == exclude.end())
            usable.push_back(i);
    }
    if (usable.empty())
        return std::nullopt;
    auto first = usable[Common::randomBelow(m_hooks, usable.size())];
    if (m_options.policy == Records::Policy::Random)
        return first;
    auto second = usable[Common::randomBelow(m_hooks, usable.size())];
    return m_servers[second].inFlight < m_servers[first].inFlight ? second : first;
}

bool ServerPool::takesWork(const Server& server) const
{
    return !server.spec.leaving && !server.draining;
}

ServerPool::Server* ServerPool::find(const std::string& address)
{
    auto it = std::find_if(m_servers.begin(), m_servers.end(), [&](const Server& server) { return server.spec.address == address; });
    return it == m_servers.end() ? nullptr : &*it;
}

}
