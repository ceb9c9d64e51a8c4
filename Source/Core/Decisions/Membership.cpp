#include "Decisions/Membership.h"

#include <algorithm>
#include <cmath>

#include "Common/Hash.h"

namespace Decisions {

namespace {

    // Transmissions of a record for each doubling of the number of members.
    constexpr int transmissionFactor = 3;
    constexpr std::size_t maxIndirectPings = 64;
    // Message header, addresses, signature, and the IP and UDP headers of a datagram.
    constexpr std::size_t overheadBytes = 150;
    // Push bytes that may be saved up, in seconds of the allowed rate.
    constexpr double pushBurstS = 2;
    // A longer time between ticks means that this process was paused. Missing Acks are no sign of failure then.
    constexpr auto pauseLimit = std::chrono::seconds(1);
    // Pings sent at a time to failed members and to listed entries that are not members.
    constexpr int maxUnreachedPings = 3;

    // At the same incarnation, Failed supersedes Suspect, and Suspect supersedes Alive.
    bool supersedes(const MemberRecord& claim, const MemberRecord& known)
    {
        if (claim.incarnation != known.incarnation)
            return claim.incarnation > known.incarnation;
        return claim.state > known.state;
    }

    std::size_t payloadBytesOf(const GossipMessage& message)
    {
        auto bytes = encodedBytes(message.sender);
        for (const auto& update : message.updates)
            bytes += encodedBytes(update);
        for (const auto& hint : message.hints)
            bytes += encodedBytes(hint);
        return bytes;
    }

}

std::uint32_t serviceTag(const std::string& service)
{
    return static_cast<std::uint32_t>(Common::hash(service));
}

std::size_t encodedBytes(const MemberRecord& record)
{
    constexpr std::size_t fixedBytes = 3 + 8 + 1 + 1;
    return fixedBytes + record.peerAddress.size() + record.address.size() + record.failureDomain.size()
        + record.unavailableServices.size() * sizeof(std::uint32_t);
}

std::size_t encodedBytes(const ServerHint& hint)
{
    constexpr std::size_t fixedBytes = 4 + 8 + 1;
    return fixedBytes + hint.service.size() + hint.server.size();
}

Membership::Membership(MembershipOptions options)
    : m_options(std::move(options))
    , m_hintQueue({ .capacity = m_options.maxHints, .retention = m_options.hintRetention })
    , m_lastTick(now())
    , m_nextProbe(now())
    , m_nextUnreachedPing(now())
    , m_nextSync(now() + m_options.syncInterval)
{
    m_options.self.state = MemberState::Alive;
    raiseIncarnation(0);
}

int Membership::transmissionLimit() const
{
    return transmissionFactor * static_cast<int>(std::ceil(std::log2(static_cast<double>(m_members.size()) + 2)));
}

Common::Duration Membership::suspicionLimit() const
{
    auto scale = std::max(1.0, std::log10(static_cast<double>(m_members.size()) + 1));
    return Common::fromMilliseconds(Common::toMilliseconds(m_options.suspicionTime) * scale);
}

GossipActions Membership::receive(const GossipMessage& message)
{
    GossipActions actions;
    // A reused port or a routing loop can return this entry's own messages.
    if (message.sender.peerAddress == m_options.self.peerAddress)
        return actions;
    handleSender(message, actions);
    for (const auto& update : message.updates)
        handleRecord(update, false, actions);
    for (const auto& hint : message.hints) {
        if (!m_hintQueue.add(hint, transmissionLimit(), now()))
            continue;
        actions.hints.push_back(hint);
        schedulePush();
    }
    if (message.headRevision > m_head)
        actions.head = RemoteHead { .revision = message.headRevision, .from = message.sender.peerAddress };
    replyTo(message, actions);
    return actions;
}

void Membership::handleSender(const GossipMessage& message, GossipActions& actions)
{
    const auto& id = message.sender.peerAddress;
    auto it = m_members.find(id);
    auto wasNotLive = it == m_members.end() || it->second.record.state == MemberState::Failed;
    auto sender = message.sender;
    sender.state = MemberState::Alive;
    handleRecord(sender, true, actions);
    it = m_members.find(id);
    if (it == m_members.end())
        return;
    it->second.headRevision = message.headRevision;
    // A member that is back after a network partition: others from its side are likely reachable again too.
    if (wasNotLive && it->second.record.state != MemberState::Failed) {
        m_nextUnreachedPing = now();
        m_nextSync = now();
    }
}

void Membership::handleRecord(const MemberRecord& record, bool direct, GossipActions& actions)
{
    if (record.peerAddress == m_options.self.peerAddress)
        return handleRecordOfSelf(record);
    auto it = m_members.find(record.peerAddress);
    if (it == m_members.end()) {
        // The failure of an unknown member changes nothing here.
        if (record.state == MemberState::Failed || m_members.size() >= m_options.maxMembers)
            return;
        // Added as failed first, so that replaceRecord() reports that it joined.
        it = m_members.emplace(record.peerAddress, Member {}).first;
        it->second.record = record;
        it->second.record.state = MemberState::Failed;
        it->second.record.incarnation = 0;
        return replaceRecord(it->second, record, actions);
    }
    auto& member = it->second;
    if (!supersedes(record, member.record))
        return;
    // During a network partition the other side reports members of this side as failed. A failure that others report is
    // therefore only a suspicion here: the member is removed only if it does not answer this entry either.
    auto trusted = direct || record.state != MemberState::Failed || member.record.state == MemberState::Failed;
    if (trusted)
        return replaceRecord(member, record, actions);
    member.record.incarnation = record.incarnation;
    if (member.record.state == MemberState::Alive)
        suspect(member, actions);
}

void Membership::handleRecordOfSelf(const MemberRecord& record)
{
    auto& self = m_options.self;
    auto differs = record != self;
    if (record.incarnation > self.incarnation || (record.incarnation == self.incarnation && differs))
        raiseIncarnation(record.incarnation);
}

void Membership::raiseIncarnation(std::uint64_t above)
{
    m_options.self.incarnation = std::max(m_options.self.incarnation, above + 1);
    schedulePush();
}

void Membership::replaceRecord(Member& member, const MemberRecord& record, GossipActions& actions)
{
    auto before = member.record;
    member.record = record;
    member.transmissions = transmissionLimit();
    if (before.state != record.state)
        member.changed = now();
    if (record.state == MemberState::Alive && before.state == MemberState::Failed)
        actions.events.push_back({ MemberChange::Joined, record });
    if (record.state == MemberState::Alive && before.state == MemberState::Suspect)
        actions.events.push_back({ MemberChange::Refuted, record });
    if (record.state == MemberState::Suspect && before.state != MemberState::Suspect)
        actions.events.push_back({ MemberChange::Suspected, record });
    if (record.state == MemberState::Failed && before.state != MemberState::Failed)
        actions.events.push_back({ MemberChange::Failed, record });
    if (record.leaving && !before.leaving) {
        actions.events.push_back({ MemberChange::Leaving, record });
        schedulePush();
    }
}

void Membership::suspect(Member& member, GossipActions& actions)
{
    auto record = member.record;
    record.state = MemberState::Suspect;
    replaceRecord(member, record, actions);
    // The suspected member is told first, so that it can refute.
    ping(record.peerAddress, ++m_sequence, actions);
}

void Membership::replyTo(const GossipMessage& message, GossipActions& actions)
{
    const auto& from = message.sender.peerAddress;
    switch (message.kind) {
    case GossipKind::Ping:
        actions.sends.push_back({ from, compose(GossipKind::Ack, message.sequence, from) });
        break;
    case GossipKind::Ack:
        handleAck(message, actions);
        break;
    case GossipKind::PingRequest:
        if (m_indirectPings.size() >= maxIndirectPings)
            break;
        m_indirectPings[++m_sequence] = {
            .origin = from,
            .target = message.subject,
            .sequence = message.sequence,
            .started = now(),
        };
        ping(message.subject, m_sequence, actions);
        break;
    case GossipKind::Push:
        break;
    }
}

void Membership::handleAck(const GossipMessage& message, GossipActions& actions)
{
    const auto& responder = message.subject.empty() ? message.sender.peerAddress : message.subject;
    if (m_probe && m_probe->target == responder && m_probe->sequence == message.sequence)
        m_probe.reset();
    auto it = m_indirectPings.find(message.sequence);
    if (it == m_indirectPings.end() || it->second.target != message.sender.peerAddress)
        return;
    auto forwarded = compose(GossipKind::Ack, it->second.sequence, it->second.origin);
    forwarded.subject = it->second.target;
    actions.sends.push_back({ it->second.origin, forwarded });
    m_indirectPings.erase(it);
}

GossipActions Membership::tick()
{
    GossipActions actions;
    handleTickGap();
    continueProbe(actions);
    if (now() >= m_nextProbe) {
        m_nextProbe = now() + m_options.probeInterval;
        startProbe(actions);
    }
    expire(actions);
    if (now() >= m_nextUnreachedPing) {
        m_nextUnreachedPing = now() + m_options.unreachedPingInterval;
        pingUnreached(actions);
    }
    if (now() >= m_nextSync) {
        m_nextSync = now() + m_options.syncInterval;
        sendSyncBatch(actions);
    }
    pushUpdates(actions);
    return actions;
}

void Membership::handleTickGap()
{
    auto gap = now() - m_lastTick;
    auto perSecond = static_cast<double>(m_options.pushBytesPerSecond);
    m_pushAllowance = std::min(pushBurstS * perSecond, m_pushAllowance + perSecond * Common::toMilliseconds(gap) / 1000);
    m_lastTick = now();
    if (gap < pauseLimit)
        return;
    m_probe.reset();
    for (auto& [id, member] : m_members) {
        if (member.record.state == MemberState::Suspect)
            member.changed = now();
    }
}

void Membership::continueProbe(GossipActions& actions)
{
    if (!m_probe)
        return;
    auto it = m_members.find(m_probe->target);
    if (it == m_members.end() || it->second.record.state == MemberState::Failed) {
        m_probe.reset();
        return;
    }
    auto waited = now() - m_probe->started;
    if (waited >= m_options.probeTimeout) {
        m_probe.reset();
        if (it->second.record.state == MemberState::Alive)
            suspect(it->second, actions);
        return;
    }
    if (waited < m_probe->pings * m_options.directTimeout)
        return;
    constexpr int pingsBeforeIndirect = 2;
    ping(m_probe->target, m_probe->sequence, actions);
    if (++m_probe->pings != pingsBeforeIndirect + 1)
        return;
    for (const auto& helper : chooseLive(m_options.indirectProbes, m_probe->target)) {
        auto request = compose(GossipKind::PingRequest, m_probe->sequence, helper);
        request.subject = m_probe->target;
        actions.sends.push_back({ helper, request });
    }
}

void Membership::startProbe(GossipActions& actions)
{
    if (m_probe)
        return;
    std::vector<Member*> candidates;
    for (int round = 0; round < 2 && candidates.empty(); ++round) {
        for (auto& [id, member] : m_members) {
            if (round > 0)
                member.probed = false;
            if (member.record.state != MemberState::Failed && !member.probed)
                candidates.push_back(&member);
        }
    }
    if (candidates.empty())
        return;
    auto* member = candidates[Common::randomBelow(m_options.hooks, candidates.size())];
    member->probed = true;
    m_probe = Probe { .target = member->record.peerAddress, .sequence = ++m_sequence, .started = now(), .pings = 1 };
    ping(m_probe->target, m_probe->sequence, actions);
}

void Membership::expire(GossipActions& actions)
{
    for (auto& [id, member] : m_members) {
        if (member.record.state != MemberState::Suspect || now() - member.changed < suspicionLimit())
            continue;
        auto record = member.record;
        record.state = MemberState::Failed;
        replaceRecord(member, record, actions);
    }
    std::erase_if(m_members, [&](const auto& item) {
        const auto& member = item.second;
        return member.record.state == MemberState::Failed && now() - member.changed > m_options.failedRetention && !m_listed.contains(item.first);
    });
    std::erase_if(m_indirectPings, [&](const auto& item) { return now() - item.second.started > m_options.probeTimeout; });
    m_hintQueue.expire(now());
}

std::vector<std::string> Membership::unreachedAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& [id, member] : m_members) {
        if (member.record.state == MemberState::Failed)
            addresses.push_back(id);
    }
    for (const auto& [id, entry] : m_listed) {
        if (!m_members.contains(id) && id != m_options.self.peerAddress)
            addresses.push_back(id);
    }
    return addresses;
}

void Membership::pingUnreached(GossipActions& actions)
{
    auto addresses = unreachedAddresses();
    for (int i = 0; i < maxUnreachedPings && !addresses.empty(); ++i) {
        auto it = addresses.begin() + static_cast<std::ptrdiff_t>(Common::randomBelow(m_options.hooks, addresses.size()));
        ping(*it, ++m_sequence, actions);
        addresses.erase(it);
    }
}

void Membership::sendSyncBatch(GossipActions& actions)
{
    auto to = chooseLive(1, {});
    if (to.empty())
        return;
    auto message = compose(GossipKind::Push, 0, to.front());
    auto bytes = payloadBytesOf(message);
    auto it = m_members.upper_bound(m_syncCursor);
    for (std::size_t i = 0; i < m_members.size(); ++i, ++it) {
        if (it == m_members.end())
            it = m_members.begin();
        if (it->second.record.state == MemberState::Failed)
            continue;
        bytes += encodedBytes(it->second.record);
        if (bytes > m_options.payloadBytes)
            break;
        message.updates.push_back(it->second.record);
        m_syncCursor = it->first;
    }
    actions.sends.push_back({ to.front(), std::move(message) });
}

void Membership::pushUpdates(GossipActions& actions)
{
    if (m_pushRounds == 0)
        return;
    --m_pushRounds;
    for (const auto& to : chooseLive(m_options.pushFanOut, {})) {
        if (m_pushAllowance < static_cast<double>(overheadBytes))
            return;
        auto message = compose(GossipKind::Push, 0, to);
        m_pushAllowance -= static_cast<double>(overheadBytes + payloadBytesOf(message));
        actions.sends.push_back({ to, std::move(message) });
    }
}

std::vector<std::string> Membership::chooseLive(int count, const std::string& except) const
{
    std::vector<std::string> addresses;
    for (const auto& [id, member] : m_members) {
        if (member.record.state != MemberState::Failed && id != except)
            addresses.push_back(id);
    }
    auto wanted = std::min(static_cast<std::size_t>(count), addresses.size());
    for (std::size_t i = 0; i < wanted; ++i)
        std::swap(addresses[i], addresses[i + Common::randomBelow(m_options.hooks, addresses.size() - i)]);
    addresses.resize(wanted);
    return addresses;
}

GossipMessage Membership::compose(GossipKind kind, std::uint64_t sequence, const std::string& to)
{
    GossipMessage message {
        .kind = kind,
        .sequence = sequence,
        .subject = {},
        .sender = m_options.self,
        .headRevision = m_head,
        .clock = 0,
        .updates = {},
        .hints = {},
    };
    addUpdates(message, to);
    message.hints = m_hintQueue.take(m_options.payloadBytes - std::min(m_options.payloadBytes, payloadBytesOf(message)));
    return message;
}

void Membership::addUpdates(GossipMessage& message, const std::string& to)
{
    // Records take at most half of the remaining payload, so that hints always find room.
    auto room = (m_options.payloadBytes - std::min(m_options.payloadBytes, payloadBytesOf(message))) / 2;
    // A member that is suspected or failed here is told so in every message, since only the member itself can refute.
    if (auto it = m_members.find(to); it != m_members.end() && it->second.record.state != MemberState::Alive) {
        message.updates.push_back(it->second.record);
        room -= std::min(room, encodedBytes(it->second.record));
    }
    std::vector<Member*> candidates;
    for (auto& [id, member] : m_members) {
        if (member.transmissions > 0 && id != to)
            candidates.push_back(&member);
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const Member* a, const Member* b) { return a->transmissions > b->transmissions; });
    for (auto* member : candidates) {
        auto bytes = encodedBytes(member->record);
        if (bytes > room)
            break;
        room -= bytes;
        --member->transmissions;
        message.updates.push_back(member->record);
    }
}

void Membership::ping(const std::string& to, std::uint64_t sequence, GossipActions& actions)
{
    actions.sends.push_back({ to, compose(GossipKind::Ping, sequence, to) });
}

void Membership::setInstances(std::span<const ListedEntry> entries)
{
    m_listed.clear();
    for (const auto& entry : entries)
        m_listed[entry.peerAddress] = entry;
}

void Membership::setHead(std::uint64_t revision)
{
    if (revision <= m_head)
        return;
    m_head = revision;
    schedulePush();
}

void Membership::publishHint(const ServerHint& hint)
{
    if (m_hintQueue.add(hint, transmissionLimit(), now()))
        schedulePush();
}

void Membership::leave()
{
    m_options.self.leaving = true;
    raiseIncarnation(m_options.self.incarnation);
}

void Membership::setAvailability(bool ready, std::vector<std::uint32_t> unavailableServices)
{
    auto& self = m_options.self;
    // If more services are unavailable than a record can list, directories leave this entry out altogether: otherwise callers
    // would be sent to it for services that it cannot serve.
    if (unavailableServices.size() > maxUnavailableServices) {
        unavailableServices.clear();
        ready = false;
    }
    if (self.ready == ready && self.unavailableServices == unavailableServices)
        return;
    self.ready = ready;
    self.unavailableServices = std::move(unavailableServices);
    raiseIncarnation(self.incarnation);
}

std::vector<MemberView> Membership::live() const
{
    std::vector<MemberView> views { { .record = m_options.self, .headRevision = m_head } };
    for (const auto& [id, member] : m_members) {
        if (member.record.state != MemberState::Failed)
            views.push_back({ .record = member.record, .headRevision = member.headRevision });
    }
    return views;
}

std::vector<MemberRecord> Membership::known() const
{
    std::vector<MemberRecord> records { m_options.self };
    for (const auto& [id, member] : m_members)
        records.push_back(member.record);
    for (const auto& [id, entry] : m_listed) {
        if (id != m_options.self.peerAddress && !m_members.contains(id))
            records.push_back({ .peerAddress = id, .address = entry.address, .failureDomain = entry.failureDomain });
    }
    return records;
}

}
