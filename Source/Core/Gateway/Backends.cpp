#include "Gateway/Backends.h"

#include <algorithm>

namespace Gateway {

namespace {

    // Share of a server's connections that all known gateways together may keep; the rest is for gateways not known yet.
    constexpr double knownGatewaysConnectionShare = 0.8;

}

Backends::Backends(Net::EventLoop& loop, Common::EventLog& log, BackendsOptions options)
    : m_loop(loop)
    , m_log(log)
    , m_options(std::move(options))
{
}

BackendOptions Backends::optionsFor(const std::string& service) const
{
    BackendOptions options {
        .headers = &m_options.headers,
        .healthPath = "/health",
        .failureDomain = m_options.failureDomain,
        .maxConnections = 1,
        .client = m_options.client,
    };
    auto it = m_services.find(service);
    if (it != m_services.end()) {
        options.healthPath = it->second.healthPath;
        options.maxConnections = std::max(1, static_cast<int>(knownGatewaysConnectionShare * it->second.maxConnections / m_gatewayCount));
    }
    return options;
}

void Backends::put(const ServerRecord& record, std::uint64_t version)
{
    auto& backend = m_backends[record.id];
    if (backend && backend->record().service != record.service)
        remove(record.id, version);
    auto& entry = m_backends[record.id];
    if (!entry) {
        entry = std::make_shared<Backend>(m_loop, record, optionsFor(record.service));
        m_byService[record.service].push_back(entry);
        m_log.log(Common::EventId::ServerAdded,
            { { "server", record.id },
                { "service", record.service },
                { "address", record.address },
                { "domain", record.failureDomain },
                { "version", std::to_string(version) } });
        if (!record.draining)
            return;
    }
    auto wasDraining = entry->record().draining;
    entry->update(record);
    if (record.draining && !wasDraining)
        m_log.log(Common::EventId::ServerDraining, { { "server", record.id }, { "version", std::to_string(version) } });
}

void Backends::remove(const std::string& id, std::uint64_t version)
{
    auto it = m_backends.find(id);
    if (it == m_backends.end())
        return;
    auto backend = it->second;
    m_backends.erase(it);
    if (!backend)
        return;
    std::erase(m_byService[backend->record().service], backend);
    m_connectionsOpenedByRemoved += backend->connectionsOpened();
    backend->retire();
    m_log.log(Common::EventId::ServerRemoved,
        { { "server", id }, { "service", backend->record().service }, { "version", std::to_string(version) } });
}

void Backends::setServices(const std::map<std::string, Service, std::less<>>& services)
{
    m_services = services;
    for (const auto& [id, backend] : m_backends)
        backend->setOptions(optionsFor(backend->record().service));
}

void Backends::setGatewayCount(int gatewayCount)
{
    if (gatewayCount == m_gatewayCount || gatewayCount < 1)
        return;
    m_gatewayCount = gatewayCount;
    for (const auto& [id, backend] : m_backends)
        backend->setOptions(optionsFor(backend->record().service));
}

std::vector<std::shared_ptr<Backend>> Backends::candidates(const std::string& service, bool ownDomain, const std::set<std::string>& exclude)
{
    std::vector<std::shared_ptr<Backend>> found;
    auto it = m_byService.find(service);
    if (it == m_byService.end())
        return found;
    for (const auto& backend : it->second) {
        auto isOwn = backend->record().failureDomain == m_options.failureDomain;
        if (backend->isUsable() && isOwn == ownDomain && !exclude.contains(backend->record().id))
            found.push_back(backend);
    }
    return found;
}

std::size_t Backends::usableCount(const std::string& service) const
{
    auto it = m_byService.find(service);
    if (it == m_byService.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(it->second.begin(), it->second.end(), [](const auto& backend) { return backend->isUsable(); }));
}

std::uint64_t Backends::connectionsOpened() const
{
    auto n = m_connectionsOpenedByRemoved;
    for (const auto& [id, backend] : m_backends)
        n += backend->connectionsOpened();
    return n;
}

void Backends::closeIdleConnections()
{
    for (const auto& [id, backend] : m_backends)
        backend->closeIdleConnections(m_loop.now());
}

}
