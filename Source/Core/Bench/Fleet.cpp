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
    m_servers.clear();
    for (auto& loop : m_loops)
        loop->stop();
    m_deepCalls.clear();
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
                .callOn = plan.depth > 0 ? m_deepCalls.hook(service.name) : nullptr,
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
        auto slot = startEntry(i);
        if (!slot.daemon)
            return false;
        std::lock_guard lock(m_mutex);
        m_entries.push_back(std::move(slot));
    }
    publishInstances();
    waitUntilReady();
    return true;
}

// A load that begins with the whole fleet's start would meet entries without their shares of connections.
void Fleet::waitUntilReady() const
{
    constexpr int mostSteps = 1000;
    constexpr auto step = std::chrono::milliseconds(10);
    std::lock_guard lock(m_mutex);
    auto ready = [](const EntrySlot& slot) { return slot.daemon->ready(); };
    for (int i = 0; i < mostSteps && !std::all_of(m_entries.begin(), m_entries.end(), ready); ++i)
        std::this_thread::sleep_for(step);
}

Fleet::EntrySlot Fleet::startEntry(int number)
{
    auto settings = entrySettings(m_platform.address(), domainOf(static_cast<std::size_t>(number)), m_options.plan.directoryTtlMs);
    EntrySlot slot;
    slot.platform = std::make_shared<PausedPlatform>(Platform::httpPlatform({ .address = m_platform.address() }));
    slot.daemon = std::make_unique<Entry::Daemon>(settings, slot.platform->services(), Common::systemHooks());
    if (!slot.daemon->start())
        slot.daemon.reset();
    return slot;
}

void Fleet::stopEntries()
{
    std::vector<EntrySlot> entries;
    {
        std::lock_guard lock(m_mutex);
        entries = std::move(m_entries);
        m_entries.clear();
    }
    std::vector<std::thread> stops;
    for (auto& slot : entries) {
        slot.platform->pause(false);
        stops.emplace_back([&slot] { slot.daemon->stop(); });
    }
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
        old = m_entries[index].daemon.get();
        m_entries[index].leaving = true;
    }
    publishInstances();
    m_forcedStops += old->stop() ? 0 : 1;
    replaceEntry(number);
}

void Fleet::killEntry(int number)
{
    auto index = static_cast<std::size_t>(number);
    Entry::Daemon* daemon = nullptr;
    {
        std::lock_guard lock(m_mutex);
        if (index >= m_entries.size())
            return;
        daemon = m_entries[index].daemon.get();
        m_entries[index].dead = true;
    }
    daemon->kill();
    publishInstances();
}

void Fleet::replaceEntry(int number)
{
    auto index = static_cast<std::size_t>(number);
    auto slot = startEntry(number);
    if (!slot.daemon)
        return;
    {
        std::lock_guard lock(m_mutex);
        if (index >= m_entries.size())
            return;
        std::swap(m_entries[index], slot);
    }
    publishInstances();
}

void Fleet::publishInstances()
{
    std::vector<Platform::Instance> instances;
    std::vector<std::string> live;
    std::lock_guard lock(m_mutex);
    for (std::size_t i = 0; i < m_servers.size(); ++i)
        instances.push_back({ .address = m_servers[i]->address(), .kind = Platform::InstanceKind::Backend, .pool = m_servers[i]->options().service, .failureDomain = domainOf(i), .leaving = m_serverLeaving[i], .peerAddress = {} });
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const auto& slot = m_entries[i];
        if (slot.dead)
            continue;
        instances.push_back({ .address = slot.daemon->address(), .kind = Platform::InstanceKind::Entry, .pool = {}, .failureDomain = domainOf(i), .leaving = slot.leaving, .peerAddress = slot.daemon->peerAddress() });
        if (!slot.leaving)
            live.push_back(slot.daemon->address());
    }
    m_platform.setInstances(std::move(instances));
    m_deepCalls.setEntries(std::move(live));
}

std::string Fleet::domainOf(std::size_t number) const
{
    return domainName(static_cast<int>(number) % m_options.deployment.failureDomains);
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
        return changeRecords(fault.schemas);
    if (!isServerFault(fault.kind))
        return beginOnEntries(fault);
    for (auto target : fault.targets)
        m_servers[static_cast<std::size_t>(target)]->begin(fault);
    if (fault.kind == FaultKind::DrainWithWarning)
        setServersLeaving(fault.targets);
}

void Fleet::beginOnEntries(const Fault& fault)
{
    for (auto target : fault.targets) {
        if (fault.kind == FaultKind::EntryRestart)
            restartEntry(target);
        if (fault.kind == FaultKind::EntryKill)
            killEntry(target);
        std::lock_guard lock(m_mutex);
        if (fault.kind == FaultKind::EntryPause && static_cast<std::size_t>(target) < m_entries.size())
            m_entries[static_cast<std::size_t>(target)].platform->pause(true);
    }
}

void Fleet::end(const Fault& fault)
{
    if (isPlatformFault(fault.kind))
        return m_platform.end(fault.kind);
    for (auto target : fault.targets) {
        auto index = static_cast<std::size_t>(target);
        if (isServerFault(fault.kind))
            m_servers[index]->end(fault.kind);
        if (fault.kind == FaultKind::EntryKill)
            replaceEntry(target);
        std::lock_guard lock(m_mutex);
        if (fault.kind == FaultKind::EntryPause && index < m_entries.size())
            m_entries[index].platform->pause(false);
    }
}

void Fleet::setServersLeaving(const std::vector<int>& servers)
{
    {
        std::lock_guard lock(m_mutex);
        for (auto server : servers)
            m_serverLeaving[static_cast<std::size_t>(server)] = true;
    }
    publishInstances();
}

void Fleet::forEachEntry(const std::function<void(Entry::Daemon&)>& look) const
{
    std::lock_guard lock(m_mutex);
    for (const auto& slot : m_entries) {
        if (!slot.dead)
            look(*slot.daemon);
    }
}

void Fleet::changeRecords(const std::vector<int>& schemas)
{
    auto begun = now();
    auto revision = m_records.write(schemas);
    if (revision == 0)
        return;
    auto ms = waitInForce(entryAddresses(), m_options.deployment.services.front().name, revision, begun);
    m_configInForceMs = std::max(m_configInForceMs.load(), ms);
}

std::vector<std::string> Fleet::entryAddresses() const
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> addresses;
    for (const auto& slot : m_entries) {
        if (!slot.dead && !slot.leaving)
            addresses.push_back(slot.daemon->address());
    }
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
