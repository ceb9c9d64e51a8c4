#include "Controllers/Members.h"

#include <algorithm>

#include <Poco/Net/NetException.h>
#include <fmt/format.h>

namespace Controllers {

namespace {

    // A list that names no peer addresses is that of a fleet whose entries all use the same port for peers.
    std::string peerAddressOf(const Platform::Instance& instance, const std::string& own)
    {
        if (!instance.peerAddress.empty())
            return instance.peerAddress;
        return instance.address.substr(0, instance.address.rfind(':')) + own.substr(own.rfind(':'));
    }

    using Common::EventId;
    using Decisions::MemberChange;
    using Decisions::MemberRecord;
    using Decisions::MemberState;

    constexpr auto tickInterval = std::chrono::milliseconds(100);
    // Assigning carriers costs time in proportion to services and entries: at most once a second, and so often without news.
    constexpr auto assignInterval = std::chrono::seconds(1);
    constexpr auto idleAssignInterval = std::chrono::seconds(5);
    constexpr std::int64_t refusalLogIntervalMs = 10'000;
    constexpr int readersPerDomain = 2;
    constexpr int listenBacklog = 128;
    constexpr int bindAttempts = 20;

    EventId eventOf(MemberChange change)
    {
        switch (change) {
        case MemberChange::Joined:
        case MemberChange::Refuted:
            return EventId::MemberJoined;
        case MemberChange::Suspected:
            return EventId::MemberSuspected;
        case MemberChange::Leaving:
            return EventId::MemberLeft;
        case MemberChange::Failed:
            break;
        }
        return EventId::MemberFailed;
    }

    bool mayCarry(const MemberRecord& record, std::uint32_t tag)
    {
        auto offered = std::find(record.unavailableServices.begin(), record.unavailableServices.end(), tag) == record.unavailableServices.end();
        return record.ready && !record.leaving && offered;
    }

    // An entry that has just started holds few connections until its share has settled, and would refuse calls that others
    // can serve. The incarnation begins as the entry's start by its wall clock.
    bool isYoung(const MemberRecord& record, std::int64_t nowMs)
    {
        constexpr std::int64_t youthMs = 2500;
        return static_cast<std::int64_t>(record.incarnation) > nowMs - youthMs;
    }

    // TCP and UDP on one port; with port 0 another port is tried while UDP's is taken.
    void bindBoth(const Poco::Net::SocketAddress& address, Poco::Net::ServerSocket& listener, Poco::Net::DatagramSocket& datagrams)
    {
        for (int attempt = 1;; ++attempt) {
            Poco::Net::ServerSocket tcp;
            tcp.bind(address, true);
            try {
                datagrams = Poco::Net::DatagramSocket(Poco::Net::SocketAddress(address.host(), tcp.address().port()), false);
            } catch (const Poco::Net::NetException&) {
                if (address.port() != 0 || attempt == bindAttempts)
                    throw;
                continue;
            }
            tcp.listen(listenBacklog);
            listener = tcp;
            return;
        }
    }

}

Members::Members(MembersOptions options, Common::EventLog& log)
    : m_options(std::move(options))
    , m_log(log)
{
}

Members::~Members()
{
    stop();
}

Common::Result<void> Members::bind()
{
    try {
        bindBoth(Poco::Net::SocketAddress(m_options.peerAddress), m_listener, m_datagrams);
    } catch (const Poco::Exception& ec) {
        m_log.log(EventId::ListenFailed, { { "address", m_options.peerAddress }, { "error", ec.displayText() } });
        return Common::Error { Common::ResultCode::Internal, fmt::format("cannot bind {}: {}", m_options.peerAddress, ec.displayText()) };
    }
    m_options.peerAddress = m_listener.address().toString();
    m_seal = std::make_unique<Peers::MessageSeal>(Peers::SealOptions {
        .key = m_options.sharedKey,
        .self = m_options.peerAddress,
        .run = static_cast<std::uint64_t>(Common::wallMilliseconds()),
        .wallMs = Common::wallMilliseconds,
    });
    auto refused = [this](const std::string& reason) { noteRefused(reason); };
    m_gossip = std::make_unique<Peers::GossipSocket>(
        m_datagrams, *m_seal, [this](const auto& message) { receive(message); }, refused);
    m_server = std::make_unique<Peers::PeerServer>(m_listener, *m_seal, refused);
    m_client = std::make_unique<Peers::PeerClient>(Peers::PeerClientOptions { .sharedKey = m_options.sharedKey, .self = m_options.peerAddress + "#client" });
    m_shares = std::make_unique<Decisions::CarrierShares>(Decisions::CarrierSharesOptions { .hooks = m_options.hooks, .self = m_options.peerAddress });
    return boost::outcome_v2::success();
}

void Members::addMethod(const std::string& name, Peers::JsonRpcHandler handler)
{
    m_server->addMethod(name, std::move(handler));
}

void Members::start(const std::string& address)
{
    {
        std::lock_guard lock(m_mutex);
        m_membership = std::make_unique<Decisions::Membership>(Decisions::MembershipOptions {
            .hooks = m_options.hooks,
            .self = { .peerAddress = m_options.peerAddress, .address = address, .failureDomain = m_options.failureDomain, .incarnation = static_cast<std::uint64_t>(Common::wallMilliseconds()) },
        });
        m_membership->setInstances(m_listed);
        m_membership->setHead(m_head);
        m_membership->setAvailability(m_ready, m_unavailableServices);
    }
    publishView();
    assignCarriers();
    m_server->start();
    m_gossip->start();
    m_ticker = std::thread([this] { tickLoop(); });
    m_headFollower = std::thread([this] { headLoop(); });
}

void Members::stop()
{
    {
        std::lock_guard lock(m_wakeMutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    for (auto* thread : { &m_ticker, &m_headFollower }) {
        if (thread->joinable())
            thread->join();
    }
    if (m_gossip)
        m_gossip->stop();
    if (m_server)
        m_server->stop();
}

void Members::setInstances(std::span<const Platform::Instance> instances)
{
    std::vector<Decisions::ListedEntry> listed;
    for (const auto& instance : instances) {
        if (instance.kind == Platform::InstanceKind::Entry && !instance.leaving)
            listed.push_back({ .peerAddress = peerAddressOf(instance, peerAddress()), .address = instance.address, .failureDomain = instance.failureDomain });
    }
    std::lock_guard lock(m_mutex);
    m_listed = std::move(listed);
    if (m_membership)
        m_membership->setInstances(m_listed);
}

void Members::setServices(std::map<std::string, std::size_t> services)
{
    std::lock_guard lock(m_assignMutex);
    if (m_serviceSizes == services)
        return;
    m_serviceSizes = std::move(services);
    m_viewChanged = true;
}

void Members::setHead(std::uint64_t revision)
{
    std::lock_guard lock(m_mutex);
    m_head = std::max(m_head, revision);
    if (m_membership)
        m_membership->setHead(revision);
}

void Members::setAvailability(bool ready, const std::vector<std::string>& unavailableServices)
{
    std::vector<std::uint32_t> tags;
    for (const auto& service : unavailableServices)
        tags.push_back(Decisions::serviceTag(service));
    std::sort(tags.begin(), tags.end());
    std::lock_guard lock(m_mutex);
    if (m_ready != ready || m_unavailableServices != tags)
        m_viewChanged = true;
    m_ready = ready;
    m_unavailableServices = tags;
    if (m_membership)
        m_membership->setAvailability(ready, std::move(tags));
}

void Members::publishHint(const Decisions::ServerHint& hint)
{
    std::lock_guard lock(m_mutex);
    if (m_membership)
        m_membership->publishHint(hint);
}

void Members::announceLeaving()
{
    {
        std::lock_guard lock(m_mutex);
        if (!m_membership)
            return;
        m_membership->leave();
    }
    publishView();
    assignCarriers();
}

Decisions::CarrierShare Members::share(const std::string& service) const
{
    auto services = m_services.get();
    auto it = services->find(service);
    // Not assigned yet: this entry may serve, but spends nothing of what is shared.
    return it == services->end() ? Decisions::CarrierShare { .maxRecentCarriers = Decisions::CarrierShare::noBudgetShare } : it->second.share;
}

std::vector<DirectoryEntry> Members::directory(const std::string& service) const
{
    auto services = m_services.get();
    auto it = services->find(service);
    if (it == services->end())
        return {};
    // Carriers are assigned anew about once a second; who is leaving must not be named from the moment it is known.
    auto nameable = m_nameable.get();
    std::vector<DirectoryEntry> entries;
    for (const auto& carrier : it->second.carriers) {
        if (nameable->contains(carrier.address))
            entries.push_back(carrier);
    }
    // Others hold a reserve of connections, for the time until new carriers are assigned.
    if (entries.empty()) {
        for (const auto& [address, failureDomain] : *nameable)
            entries.push_back({ .address = address, .failureDomain = failureDomain });
    }
    for (auto i = entries.size(); i > 1; --i)
        std::swap(entries[i - 1], entries[Common::randomBelow(m_options.hooks, i)]);
    std::stable_partition(entries.begin(), entries.end(), [&](const auto& entry) { return entry.failureDomain == m_options.failureDomain; });
    return entries;
}

bool Members::isReader() const
{
    std::vector<MemberRecord> live;
    auto members = view();
    for (const auto& member : *members) {
        if (member.record.state == MemberState::Alive && !member.record.leaving)
            live.push_back(member.record);
    }
    auto readers = Decisions::chooseCarriers("record readers", readersPerDomain, live);
    auto isSelf = [this](const auto& reader) { return reader.peerAddress == m_options.peerAddress; };
    return live.empty() || std::any_of(readers.begin(), readers.end(), isSelf);
}

std::string Members::peerAddress() const
{
    return m_options.peerAddress;
}

Peers::GossipTraffic Members::traffic() const
{
    return m_gossip ? m_gossip->traffic() : Peers::GossipTraffic {};
}

std::uint64_t Members::refused() const
{
    return m_seal ? m_seal->refusedInAll() : 0;
}

void Members::tickLoop()
{
    auto lastAssigned = m_options.hooks.now();
    std::unique_lock wake(m_wakeMutex);
    while (!m_stopping) {
        wake.unlock();
        m_options.beforeTick();
        Decisions::GossipActions actions;
        {
            std::lock_guard lock(m_mutex);
            actions = m_membership->tick();
        }
        carryOut(std::move(actions));
        auto now = m_options.hooks.now();
        auto due = now - lastAssigned >= (m_viewChanged ? assignInterval : idleAssignInterval);
        if (due) {
            lastAssigned = now;
            m_viewChanged = false; // before the view is read, so that no change is missed
            publishView();
            assignCarriers();
        }
        wake.lock();
        m_wake.wait_for(wake, tickInterval, [this] { return m_stopping; });
    }
}

void Members::headLoop()
{
    std::unique_lock wake(m_wakeMutex);
    while (true) {
        m_wake.wait(wake, [this] { return m_stopping || m_pendingHead; });
        if (m_stopping)
            return;
        auto head = *m_pendingHead;
        m_pendingHead.reset();
        wake.unlock();
        m_options.onHead(head.revision, head.from);
        wake.lock();
    }
}

void Members::receive(const Decisions::GossipMessage& message)
{
    m_log.clock().merge(message.clock);
    Decisions::GossipActions actions;
    {
        std::lock_guard lock(m_mutex);
        if (!m_membership)
            return;
        actions = m_membership->receive(message);
    }
    carryOut(std::move(actions));
}

void Members::carryOut(Decisions::GossipActions actions)
{
    send(actions.sends);
    for (const auto& hint : actions.hints)
        m_options.onHint(hint);
    if (actions.head) {
        // fetch()ers look in the view for entries that are ahead.
        publishView();
        {
            std::lock_guard lock(m_wakeMutex);
            if (!m_pendingHead || m_pendingHead->revision < actions.head->revision)
                m_pendingHead = actions.head;
        }
        m_wake.notify_all();
    }
    if (actions.events.empty())
        return;
    for (const auto& event : actions.events)
        report(event);
    publishView();
    m_viewChanged = true;
}

void Members::send(std::vector<Decisions::GossipSend>& sends)
{
    for (auto& it : sends) {
        it.message.clock = m_log.clock().tick();
        if (m_options.passes(it.to))
            m_gossip->send(it);
    }
}

void Members::report(const Decisions::MemberEvent& event)
{
    const auto& member = event.member;
    m_log.log(eventOf(event.change), { { "peer", member.peerAddress }, { "address", member.address }, { "failure_domain", member.failureDomain }, { "incarnation", std::to_string(member.incarnation) } });
}

void Members::noteRefused(const std::string& reason)
{
    // Anybody can send datagrams: a line for each would let them flood the log. The counter has all.
    auto nowMs = Common::wallMilliseconds();
    auto last = m_refusalLoggedMs.load();
    if (nowMs - last < refusalLogIntervalMs || !m_refusalLoggedMs.compare_exchange_strong(last, nowMs))
        return;
    m_log.log(EventId::PeerMessageRefused, { { "reason", reason }, { "refused_in_all", std::to_string(m_seal->refusedInAll()) } });
}

void Members::publishView()
{
    std::lock_guard lock(m_mutex);
    auto live = std::make_shared<const std::vector<Decisions::MemberView>>(m_membership->live());
    auto nameable = std::make_shared<std::map<std::string, std::string>>();
    for (const auto& member : *live) {
        if (!member.record.leaving)
            nameable->emplace(member.record.address, member.record.failureDomain);
    }
    m_nameable.set(std::move(nameable));
    m_view.set(std::move(live));
}

void Members::assignCarriers()
{
    std::vector<MemberRecord> live;
    std::vector<MemberRecord> known;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& member : m_membership->live())
            live.push_back(member.record);
        known = m_membership->known();
    }
    auto services = std::make_shared<Services>();
    std::lock_guard lock(m_assignMutex);
    for (const auto& [service, servers] : m_serviceSizes)
        services->emplace(service, assign(service, servers, live, known));
    m_services.set(services);
    auto isSettling = m_shares->isSettling();
    if (isSettling)
        m_viewChanged = true;
    else
        m_settled = true;
}

Members::Service Members::assign(const std::string& service, std::size_t servers, std::span<const MemberRecord> live, std::span<const MemberRecord> known)
{
    auto tag = Decisions::serviceTag(service);
    auto perDomain = Decisions::carriersPerDomain(m_options.carrierRule, servers);
    std::vector<MemberRecord> able;
    std::copy_if(live.begin(), live.end(), std::back_inserter(able), [&](const auto& record) { return mayCarry(record, tag); });
    Service assigned { .share = m_shares->update(service, perDomain, able, known) };
    assigned.share.liveEntries = static_cast<int>(live.size());
    auto carriers = Decisions::chooseCarriers(service, perDomain, able);
    auto nowMs = Common::wallMilliseconds();
    auto dependable = [nowMs](const MemberRecord& record) { return record.state == MemberState::Alive && !isYoung(record, nowMs); };
    // With every carrier in doubt, a doubtful one is better than none.
    auto anyDependable = std::any_of(carriers.begin(), carriers.end(), dependable);
    for (const auto& carrier : carriers) {
        // The youth of an entry ends without any event.
        if (isYoung(carrier, nowMs))
            m_viewChanged = true;
        if (!anyDependable || dependable(carrier))
            assigned.carriers.push_back({ .address = carrier.address, .failureDomain = carrier.failureDomain });
    }
    return assigned;
}

}
