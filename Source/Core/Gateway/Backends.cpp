#include "Gateway/Backends.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Common/Hash.h"

namespace Gateway {

namespace {

    // Share of a server's connections that all known gateways together may keep; the rest is for gateways not known yet.
    constexpr double knownGatewaysConnectionShare = 0.8;
    // After which callers come back that this gateway can't serve since it has no share of any server's limit. They may reach
    // another one then.
    constexpr Common::Duration timeWithoutShare = std::chrono::milliseconds(300);
    // A failure domain without a server for this long after its evacuation is reported as unknown: the registry may be read after the
    // operators' table.
    constexpr auto unknownDomainDelay = std::chrono::seconds(3);
    // For which a removed server is remembered: no pause that it asked for lasts longer.
    constexpr auto removedMemory = Decisions::maxServerPause;
    constexpr std::size_t maxRemovedServers = 1024;
    // Leaving servers that are remembered after the registry has dropped them.
    constexpr std::size_t maxLeftServers = 4096;

    // Load probes, for each service, to servers that this gateway does not reach. So many keep the failures of three servers in memory.
    constexpr auto tryInterval = std::chrono::milliseconds(250);
    constexpr auto tryTimeout = std::chrono::milliseconds(250);
    constexpr std::size_t triesPerInterval = 2;

    // Whether bytes came from the server, be they no valid response.
    bool hasAnswered(const ServerContact& contact)
    {
        return !contact.failure || contact.failure->kind == Net::FailureKind::Malformed || contact.failure->kind == Net::FailureKind::TooLarge;
    }

}

Backends::Backends(Net::EventLoop& loop, Common::EventLog& log, BackendsOptions options)
    : m_loop(loop)
    , m_log(log)
    , m_options(std::move(options))
{
}

BackendOptions Backends::optionsFor(const std::string& service)
{
    BackendOptions options {
        .headers = &m_options.headers,
        .healthPath = "/health",
        .failureDomain = m_options.failureDomain,
        .left = [this](const ServerRecord& record) { onServerLeaving(record); },
        .paused = [this](const ServerRecord& record, Common::Duration pause) { m_log.log(Common::EventId::ServerPaused,
                                                                                   { { "server", record.id }, { "service", record.service }, { "pause_ms", std::to_string(static_cast<long>(Common::toMilliseconds(pause))) } }); },
        .limitShare = [this](const ServerRecord& record, double perSecond) { return limitShare(record, perSecond); },
        .warmupShare = [this](const ServerRecord& record, double perSecond) { return warmupShare(record, perSecond); },
        .limitChanged = [this](const ServerRecord& record, std::optional<double> perSecond, double share) { onLimitChanged(record, perSecond, share); },
        .contacted = [this](const ServerRecord& record, const ServerContact& contact) { onContact(record, contact); },
        .maxConnections = 1,
        .client = m_options.client,
    };
    auto it = m_services.find(service);
    if (it != m_services.end()) {
        options.healthPath = it->second.healthPath;
        options.warmupPerSecond = it->second.warmupPerSecond;
        options.maxConnections = std::max(1, static_cast<int>(knownGatewaysConnectionShare * it->second.maxConnections / m_gatewayCount));
    }
    return options;
}

double Backends::limitShare(const ServerRecord& record, double perSecond) const
{
    return Decisions::limitShare(record.id, perSecond, { .self = m_self, .domainMembers = m_domainMembers, .total = m_totalMembers });
}

// A gateway that starts may know itself alone, and the number of gateways is then a cautious guess.
double Backends::warmupShare(const ServerRecord& record, double perSecond) const
{
    auto total = std::max(m_totalMembers, static_cast<std::size_t>(m_gatewayCount));
    return Decisions::limitShare(record.id, perSecond, { .self = m_self, .domainMembers = m_domainMembers, .total = total });
}

void Backends::onLimitChanged(const ServerRecord& record, std::optional<double> perSecond, double share)
{
    if (!perSecond)
        return m_log.log(Common::EventId::ServerLimitEnded, { { "server", record.id }, { "service", record.service } });
    m_log.log(Common::EventId::ServerLimited,
        { { "server", record.id },
            { "service", record.service },
            { "per_second", fmt::format("{}", *perSecond) },
            { "share", fmt::format("{:.3f}", share) },
            { "gateways", std::to_string(m_totalMembers) } });
}

void Backends::setEvacuatedDomains(const std::set<std::string>& domains)
{
    for (auto it = m_evacuations.begin(); it != m_evacuations.end();) {
        if (domains.contains(it->first)) {
            ++it;
            continue;
        }
        if (it->second.state == EvacuationState::Evacuated)
            m_log.log(Common::EventId::DomainRestored, { { "domain", it->first }, { "servers", std::to_string(serversIn(it->first)) } });
        it = m_evacuations.erase(it);
    }
    for (const auto& domain : domains) {
        auto [it, isNew] = m_evacuations.try_emplace(domain, Evacuation { .since = m_loop.now() });
        if (isNew && serversIn(domain) > 0)
            onEvacuated(domain, it->second);
    }
    for (const auto& [id, backend] : m_backends)
        backend->setEvacuated(m_evacuations.contains(backend->record().failureDomain));
}

void Backends::onEvacuated(const std::string& domain, Evacuation& evacuation)
{
    evacuation.state = EvacuationState::Evacuated;
    m_log.log(Common::EventId::DomainEvacuated, { { "domain", domain }, { "servers", std::to_string(serversIn(domain)) } });
}

std::size_t Backends::serversIn(const std::string& domain) const
{
    return static_cast<std::size_t>(std::count_if(m_backends.begin(), m_backends.end(), [&](const auto& it) { return it.second && it.second->record().failureDomain == domain; }));
}

void Backends::reportUnknownDomains()
{
    for (auto& [domain, evacuation] : m_evacuations) {
        if (evacuation.state != EvacuationState::NoServer || m_loop.now() - evacuation.since < unknownDomainDelay)
            continue;
        evacuation.state = EvacuationState::Unknown;
        m_log.log(Common::EventId::DomainUnknown, { { "domain", domain } });
    }
}

std::size_t Backends::evacuatedDomainCount() const
{
    return static_cast<std::size_t>(std::count_if(m_evacuations.begin(), m_evacuations.end(), [](const auto& it) { return it.second.state == EvacuationState::Evacuated; }));
}

void Backends::setGateways(const std::string& self, std::vector<std::string> domainMembers, std::size_t total)
{
    if (self == m_self && domainMembers == m_domainMembers && total == m_totalMembers)
        return;
    m_self = self;
    m_domainMembers = std::move(domainMembers);
    m_totalMembers = total;
    for (const auto& [id, backend] : m_backends)
        backend->updateLimitShare();
}

void Backends::onServerLeaving(const ServerRecord& record)
{
    m_log.log(Common::EventId::ServerLeaving, { { "server", record.id }, { "service", record.service }, { "address", record.address } });
    if (m_left.insert_or_assign(record.id, record).second)
        m_leftOrder.push_back(record.id);
    if (m_leftOrder.size() > maxLeftServers) {
        m_left.erase(m_leftOrder.front());
        m_leftOrder.pop_front();
    }
}

// Whether this incarnation said that it is leaving. One at another address or with another start time is a new server.
bool Backends::hasLeft(const ServerRecord& record) const
{
    auto it = m_left.find(record.id);
    return it != m_left.end() && it->second.startedMs == record.startedMs && it->second.address == record.address;
}

std::shared_ptr<Backend> Backends::takeRemoved(const ServerRecord& record)
{
    auto it = m_removed.find(record.id);
    if (it == m_removed.end())
        return nullptr;
    auto backend = it->second.backend;
    m_removed.erase(it);
    const auto& known = backend->record();
    if (known.startedMs != record.startedMs || known.address != record.address || known.service != record.service)
        return nullptr;
    m_connectionsOpenedByRemoved -= backend->connectionsOpened();
    backend->setOptions(optionsFor(record.service));
    backend->revive();
    return backend;
}

void Backends::forgetRemoved()
{
    std::erase_if(m_removed, [&](const auto& it) { return m_loop.now() - it.second.at > removedMemory; });
    if (m_removed.size() > maxRemovedServers)
        m_removed.erase(std::min_element(m_removed.begin(), m_removed.end(), [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
}

void Backends::put(const ServerRecord& record, std::uint64_t version)
{
    auto& backend = m_backends[record.id];
    if (backend && backend->record().service != record.service)
        remove(record.id, version);
    auto& entry = m_backends[record.id];
    if (!entry) {
        entry = takeRemoved(record);
        if (!entry)
            entry = std::make_shared<Backend>(m_loop, record, optionsFor(record.service));
        m_byService[record.service].push_back(entry);
        m_log.log(Common::EventId::ServerAdded,
            { { "server", record.id },
                { "service", record.service },
                { "address", record.address },
                { "domain", record.failureDomain },
                { "version", std::to_string(version) } });
    }
    auto wasDraining = entry->record().draining;
    entry->update(record);
    auto evacuation = m_evacuations.find(record.failureDomain);
    entry->setEvacuated(evacuation != m_evacuations.end());
    if (evacuation != m_evacuations.end() && evacuation->second.state != EvacuationState::Evacuated)
        onEvacuated(record.failureDomain, evacuation->second);
    if (!entry->isLeaving() && hasLeft(record))
        entry->setLeaving();
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
    m_removed.insert_or_assign(id, Removed { .backend = backend, .at = m_loop.now() });
    forgetRemoved();
    m_log.log(Common::EventId::ServerRemoved,
        { { "server", id }, { "service", backend->record().service }, { "version", std::to_string(version) } });
}

Decisions::Reachability Backends::reachability(const std::string& service) const
{
    auto it = m_paths.find(service);
    return it == m_paths.end() ? Decisions::Reachability::Reachable : it->second.evidence.state([&] { return usableCount(service); }, m_loop.now());
}

std::size_t Backends::unreachableServices() const
{
    return static_cast<std::size_t>(std::count_if(m_paths.begin(), m_paths.end(), [&](const auto& it) { return reachability(it.first) != Decisions::Reachability::Reachable; }));
}

void Backends::onContact(const ServerRecord& record, const ServerContact& contact)
{
    auto now = m_loop.now();
    auto& path = m_paths[record.service];
    auto lastAnswer = path.evidence.lastAnswer();
    m_failedContacts += contact.failure ? 1 : 0;
    if (contact.failure && contact.failure->kind == Net::FailureKind::Malformed)
        onMalformed(record, contact.failure->detail);
    path.evidence.record({ .server = Common::hash(record.id), .answered = hasAnswered(contact), .isNewConnection = contact.isNewConnection, .sentAt = contact.sentAt }, now);
    auto state = path.evidence.state([&] { return usableCount(record.service); }, now);
    if (state == path.logged)
        return;
    path.logged = state;
    if (state == Decisions::Reachability::Reachable) {
        m_log.log(Common::EventId::ServersReachable,
            { { "service", record.service }, { "server", record.id }, { "after_ms", fmt::format("{:.0f}", Common::toMilliseconds(now - path.loggedAt)) } });
    } else {
        auto isAll = state == Decisions::Reachability::Unreachable;
        m_log.log(Common::EventId::ServersUnreachable,
            { { "service", record.service },
                { "connections", isAll ? "all" : "new" },
                { "failed_servers", std::to_string(isAll ? path.evidence.failedServers(now) : path.evidence.failedServersOfNewConnections(now)) },
                { "fault", contact.failure ? std::string(Net::failureName(contact.failure->kind)) : "" },
                { "new_connection", contact.isNewConnection ? "true" : "false" },
                { "last_answer_ms", lastAnswer ? fmt::format("{:.0f}", Common::toMilliseconds(now - *lastAnswer)) : "none" } });
        scheduleTries();
    }
    path.loggedAt = now;
}

void Backends::onMalformed(const ServerRecord& record, const std::string& detail)
{
    ++m_malformedResponses;
    m_log.log(Common::EventId::ServerMalformed, { { "server", record.id }, { "service", record.service }, { "address", record.address }, { "detail", detail } });
}

void Backends::scheduleTries()
{
    if (m_tryTimer != 0)
        return;
    m_tryTimer = m_loop.after(tryInterval, [this] {
        m_tryTimer = 0;
        tryUnreachable();
    });
}

void Backends::tryUnreachable()
{
    std::vector<std::shared_ptr<Backend>> chosen;
    for (const auto& [service, path] : m_paths) {
        if (reachability(service) == Decisions::Reachability::Reachable)
            continue;
        auto backends = m_byService[service];
        std::erase_if(backends, [&](const auto& it) { return !it->isAvailable(m_loop.now()); });
        for (std::size_t i = 0; i < triesPerInterval && !backends.empty(); ++i) {
            auto& picked = backends[Common::randomBelow(m_loop.hooks(), backends.size())];
            chosen.push_back(std::exchange(picked, backends.back()));
            backends.pop_back();
        }
    }
    for (const auto& backend : chosen)
        backend->probeNewConnection(tryTimeout, [](const ProbeAnswer&) {});
    if (!chosen.empty())
        scheduleTries();
}

void Backends::setServices(const std::map<std::string, Service, std::less<>>& services)
{
    m_services = services;
    std::erase_if(m_paths, [&](const auto& it) { return !m_services.contains(it.first); });
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
        if (backend->isAvailable(m_loop.now()) && isOwn == ownDomain && !exclude.contains(backend->record().id))
            found.push_back(backend);
    }
    return found;
}

std::shared_ptr<Backend> Backends::find(const std::string& id) const
{
    auto it = m_backends.find(id);
    return it == m_backends.end() ? nullptr : it->second;
}

std::size_t Backends::usableCount(const std::string& service) const
{
    auto it = m_byService.find(service);
    if (it == m_byService.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(it->second.begin(), it->second.end(), [](const auto& backend) { return backend->isUsable(); }));
}

std::optional<Common::Duration> Backends::pauseLeft(const std::string& service) const
{
    std::optional<Common::Duration> shortest;
    auto it = m_byService.find(service);
    if (it == m_byService.end())
        return shortest;
    for (const auto& backend : it->second) {
        if (!backend->isUsable())
            continue;
        auto left = backend->pauseLeft(m_loop.now());
        if (left == Common::Duration::zero())
            return std::nullopt;
        shortest = std::min(shortest.value_or(left), left);
    }
    return shortest;
}

std::optional<Common::Duration> Backends::limitLeft(const std::string& service) const
{
    auto now = m_loop.now();
    std::optional<Common::Duration> shortest;
    auto isLimited = false;
    auto it = m_byService.find(service);
    if (it == m_byService.end())
        return std::nullopt;
    for (const auto& backend : it->second) {
        if (!backend->isUsable())
            continue;
        if (backend->isAvailable(now))
            return std::nullopt;
        isLimited = isLimited || backend->limit().isSet() || backend->isWarming(now);
        auto left = std::max(backend->pauseLeft(now), backend->limitLeft(now).value_or(timeWithoutShare));
        shortest = std::min(shortest.value_or(left), left);
    }
    return isLimited ? shortest : std::nullopt;
}

std::size_t Backends::limitedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_backends.begin(), m_backends.end(), [](const auto& it) { return it.second->limit().isSet(); }));
}

std::size_t Backends::warmingCount() const
{
    return static_cast<std::size_t>(std::count_if(m_backends.begin(), m_backends.end(), [&](const auto& it) { return it.second->isWarming(m_loop.now()); }));
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
    forgetRemoved();
    reportUnknownDomains();
    for (const auto& [id, backend] : m_backends) {
        backend->closeIdleConnections(m_loop.now());
        backend->checkLimit(m_loop.now(), m_gatewayCount);
    }
}

}
