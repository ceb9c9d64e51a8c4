#include "Bench/Fleet.h"

#include <algorithm>
#include <cmath>
#include <thread>

#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>

#include "Bench/Revisions.h"
#include "Platform/HttpPlatform.h"

namespace Bench {

namespace {

    Common::TimePoint now()
    {
        return Common::TimePoint(std::chrono::steady_clock::now());
    }

    Settings::EntrySettings entrySettings(const std::string& platformAddress, const std::string& failureDomain, int directoryTtlMs)
    {
        return {
            .address = "127.0.0.1:0",
            .peerAddress = "127.0.0.1:0",
            .failureDomain = failureDomain,
            .platformAddress = platformAddress,
            .sharedKey = "bench-shared-key",
            .logFormat = Common::LogFormat::Off,
            .limits = {},
            .directoryTtlMs = directoryTtlMs,
        };
    }

}

Fleet::Fleet(const FleetOptions& options)
    : m_options(options)
    , m_platform({ .instancesLag = options.plan.instancesLag, .seed = options.seed })
    , m_records(Platform::httpPlatform({ .address = m_platform.address() }).table, options.deployment, options.records)
{
    for (int i = 0; i < options.backendLoops; ++i)
        m_loops.push_back(std::make_unique<EventLoop>());
    addServers();
    m_platform.onListing([this](const auto& instances) { noteListing(instances); });
}

Fleet::~Fleet()
{
    stopEntries();
    m_platform.onListing(nullptr);
}

void Fleet::addServers()
{
    const auto& plan = m_options.plan;
    for (const auto& service : m_options.deployment.services) {
        for (int i = 0; i < service.servers; ++i) {
            BackendOptions backend {
                .number = static_cast<int>(m_servers.size()),
                .service = service.name,
                .slots = service.slots,
                .serviceTime = plan.serviceTime > Common::Duration::zero() ? plan.serviceTime : m_options.deployment.serviceTime,
                .fixedServiceTime = plan.fixedServiceTime,
                .seed = m_options.seed,
                .callOn = nullptr,
            };
            // Half of the pool is large, half small: slots apart by the root of the ratio from the middle, each way.
            auto scale = i % 2 == 0 ? std::sqrt(plan.sizeRatio) : 1 / std::sqrt(plan.sizeRatio);
            backend.slots = std::max(1, static_cast<int>(std::lround(service.slots * scale)));
            auto& loop = m_loops[m_servers.size() % m_loops.size()];
            m_servers.push_back(std::make_unique<BackendStandIn>(std::move(backend), m_ledger, loop.get()));
        }
    }
    m_serverLeaving.assign(m_servers.size(), false);
}

bool Fleet::start()
{
    if (m_records.write() == 0)
        return false;
    publishInstances();
    for (int i = 0; i < m_options.deployment.entries; ++i) {
        auto entry = startEntry(i);
        if (!entry)
            return false;
        std::lock_guard lock(m_mutex);
        m_entries.push_back(std::move(entry));
        m_entryLeaving.push_back(false);
    }
    publishInstances();
    return true;
}

std::unique_ptr<Entry::Daemon> Fleet::startEntry(int number)
{
    auto settings = entrySettings(m_platform.address(), domainName(number % m_options.deployment.failureDomains), m_options.plan.directoryTtlMs);
    auto entry = std::make_unique<Entry::Daemon>(settings, Platform::httpPlatform({ .address = m_platform.address() }), Common::systemHooks());
    return entry->start() ? std::move(entry) : nullptr;
}

void Fleet::stopEntries()
{
    std::vector<std::unique_ptr<Entry::Daemon>> entries;
    {
        std::lock_guard lock(m_mutex);
        entries = std::move(m_entries);
        m_entries.clear();
        m_entryLeaving.clear();
    }
    std::vector<std::thread> stops;
    for (auto& entry : entries)
        stops.emplace_back([&entry, this] { m_forcedStops += entry->stop() ? 0 : 1; });
    for (auto& stop : stops)
        stop.join();
}

void Fleet::restartEntry(int number)
{
    auto index = static_cast<std::size_t>(number);
    Entry::Daemon* old = nullptr;
    {
        std::lock_guard lock(m_mutex);
        if (index >= m_entries.size())
            return;
        old = m_entries[index].get();
        m_entryLeaving[index] = true;
    }
    publishInstances();
    m_forcedStops += old->stop() ? 0 : 1;
    auto next = startEntry(number);
    {
        std::lock_guard lock(m_mutex);
        if (index >= m_entries.size())
            return;
        std::swap(m_entries[index], next);
        m_entryLeaving[index] = false;
    }
    publishInstances();
}

void Fleet::publishInstances()
{
    std::vector<Platform::Instance> instances;
    std::lock_guard lock(m_mutex);
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        auto domain = domainName(static_cast<int>(i) % m_options.deployment.failureDomains);
        instances.push_back({ .address = m_servers[i]->address(), .kind = Platform::InstanceKind::Backend, .pool = m_servers[i]->options().service, .failureDomain = domain, .leaving = m_serverLeaving[i], .peerAddress = {} });
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        auto domain = domainName(static_cast<int>(i) % m_options.deployment.failureDomains);
        instances.push_back({ .address = m_entries[i]->address(), .kind = Platform::InstanceKind::Entry, .pool = {}, .failureDomain = domain, .leaving = m_entryLeaving[i], .peerAddress = peerAddressOf(*m_entries[i]) });
    }
    m_platform.setInstances(std::move(instances));
}

void Fleet::noteListing(const std::vector<Platform::Instance>& instances)
{
    for (std::size_t i = 0; i < m_servers.size() && i < instances.size(); ++i) {
        if (instances[i].leaving)
            m_ledger.signedOff(m_servers[i]->options().number, now());
    }
}

void Fleet::begin(const Fault& fault)
{
    if (isPlatformFault(fault.kind))
        return m_platform.begin(fault);
    if (fault.kind == FaultKind::RecordChange)
        return changeRecords();
    if (fault.kind == FaultKind::EntryRestart) {
        for (auto target : fault.targets)
            restartEntry(target);
        return;
    }
    if (!isServerFault(fault.kind))
        return;
    for (auto target : fault.targets)
        m_servers[static_cast<std::size_t>(target)]->begin(fault);
    if (fault.kind != FaultKind::DrainWithWarning)
        return;
    {
        std::lock_guard lock(m_mutex);
        for (auto target : fault.targets)
            m_serverLeaving[static_cast<std::size_t>(target)] = true;
    }
    publishInstances();
}

void Fleet::end(const Fault& fault)
{
    if (isPlatformFault(fault.kind))
        return m_platform.end(fault.kind);
    if (!isServerFault(fault.kind))
        return;
    for (auto target : fault.targets)
        m_servers[static_cast<std::size_t>(target)]->end(fault.kind);
}

void Fleet::changeRecords()
{
    auto begun = now();
    auto revision = m_records.write();
    if (revision == 0)
        return;
    auto ms = waitInForce(entryAddresses(), m_options.deployment.services.front().name, revision, begun);
    m_configInForceMs = std::max(m_configInForceMs.load(), ms);
}

std::vector<std::string> Fleet::entryAddresses() const
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> addresses;
    for (const auto& entry : m_entries)
        addresses.push_back(entry->address());
    return addresses;
}

std::vector<std::string> Fleet::backendAddresses(std::size_t service) const
{
    std::vector<std::string> addresses;
    for (auto number : serversOf(m_options.deployment, service))
        addresses.push_back(m_servers[static_cast<std::size_t>(number)]->address());
    return addresses;
}

double Fleet::capacity(std::size_t service) const
{
    double callsPerSecond = 0;
    for (auto number : serversOf(m_options.deployment, service)) {
        const auto& backend = m_servers[static_cast<std::size_t>(number)]->options();
        callsPerSecond += backend.slots * backend.speed / std::chrono::duration<double>(backend.serviceTime).count();
    }
    return callsPerSecond;
}

}
