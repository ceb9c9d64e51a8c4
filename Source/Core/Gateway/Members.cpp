#include "Gateway/Members.h"

#include <algorithm>

namespace Gateway {

namespace {

    // A member sends its relay a request at least once a second.
    constexpr auto memberTimeout = std::chrono::milliseconds(2500);
    // With fewer addresses of the caller's own domain, those of other domains are added: one of the few may be gone already.
    constexpr std::size_t minOwnDomainAddresses = 3;
    // Lists of this size are filtered by failure domain, until they are smaller than unfilteredListSize.
    constexpr std::size_t filteredListSize = 48;
    constexpr std::size_t unfilteredListSize = 32;
    // Age of a relay's list above which members are not named to callers any more: callers keep an answer for up to as long.
    constexpr auto maxListAge = std::chrono::seconds(5);
    constexpr std::size_t maxTombstones = 512;
    // Members of a failure domain that those of all others know in a large fleet. All forwarded requests of a domain that has lost its servers
    // go to them.
    constexpr std::size_t remoteTargetsPerDomain = 12;

}

Members::Members(Member self)
    : m_self(std::move(self))
{
}

void Members::setServing(bool serving)
{
    if (m_self.serving == serving)
        return;
    m_self.serving = serving;
    m_selfChangedAt = ++m_revision;
}

void Members::setForwarding(const std::string& address)
{
    m_self.forwarding = address;
    m_selfChangedAt = ++m_revision;
}

Members::Other& Members::update(const Member& member)
{
    auto& other = m_others[member.control];
    if (other.member == member)
        return other;
    other.member = member;
    other.changedAt = ++m_revision;
    m_tombstones.erase(member.control);
    updateFilter();
    return other;
}

bool Members::recordContact(const Member& member, Common::TimePoint now)
{
    if (member.control == m_self.control)
        return false;
    auto before = m_revision;
    update(member).contactUntil = now + memberTimeout;
    updateRemoteTargets();
    return m_revision != before;
}

void Members::suspect(const std::string& control, Common::TimePoint until)
{
    auto it = m_others.find(control);
    if (it != m_others.end())
        it->second.contactUntil = std::min(it->second.contactUntil, until);
}

void Members::drop(std::map<std::string, Other>::iterator it)
{
    m_tombstones[it->first] = { .failureDomain = it->second.member.failureDomain, .changedAt = ++m_revision };
    m_others.erase(it);
    while (m_tombstones.size() > maxTombstones) {
        auto oldest = std::min_element(m_tombstones.begin(), m_tombstones.end(),
            [](const auto& a, const auto& b) { return a.second.changedAt < b.second.changedAt; });
        m_tombstoneFloor = std::max(m_tombstoneFloor, oldest->second.changedAt);
        m_tombstones.erase(oldest);
    }
}

template <typename Condition>
bool Members::dropIf(Condition condition)
{
    auto before = m_others.size();
    for (auto it = m_others.begin(); it != m_others.end();) {
        auto current = it++;
        if (condition(current->second))
            drop(current);
    }
    updateFilter();
    updateRemoteTargets();
    return m_others.size() != before;
}

bool Members::expire(Common::TimePoint now)
{
    auto hasList = now - m_listedAt < memberTimeout;
    if (!hasList)
        m_listedTotal = 0;
    return dropIf([&](const Other& other) { return other.contactUntil < now && !(hasList && other.isListed); });
}

void Members::apply(const MemberUpdate& update, Common::TimePoint now)
{
    if (update.isFull) {
        for (auto& [control, other] : m_others)
            other.isListed = false;
    }
    for (const auto& member : update.members) {
        if (member.control != m_self.control)
            this->update(member).isListed = true;
    }
    for (const auto& control : update.departed) {
        if (auto it = m_others.find(control); it != m_others.end())
            it->second.isListed = false;
    }
    if (update.remoteTargets) {
        m_remoteTargets.clear();
        for (const auto& member : *update.remoteTargets)
            m_remoteTargets.emplace(member.control, member);
    }
    m_listedAt = now;
    m_listedTotal = static_cast<std::size_t>(std::max(1, update.total));
    dropIf([&](const Other& other) { return other.contactUntil < now && !other.isListed; });
}

// Followers that hold a list of the other kind get a full one, or they would never hear that members left which the new kind omits.
void Members::updateFilter()
{
    auto isFiltered = m_others.size() >= (m_isFiltered ? unfilteredListSize : filteredListSize);
    if (isFiltered == m_isFiltered)
        return;
    m_isFiltered = isFiltered;
    m_filterChangedAt = ++m_revision;
}

void Members::updateRemoteTargets()
{
    if (m_targetsCheckedAt == m_revision)
        return;
    m_targetsCheckedAt = m_revision;
    std::vector<Member> targets;
    if (m_isFiltered) {
        std::map<std::string, std::size_t> chosen; // by failure domain
        for (const auto& [control, other] : m_others) {
            const auto& member = other.member;
            if (member.serving && !member.forwarding.empty() && chosen[member.failureDomain]++ < remoteTargetsPerDomain)
                targets.push_back(member);
        }
    }
    if (targets == m_ownTargets)
        return;
    m_ownTargets = std::move(targets);
    m_ownTargetsChangedAt = ++m_revision;
    m_targetsCheckedAt = m_revision;
}

bool Members::isVisibleTo(const std::string& failureDomain, const std::string& ofMember) const
{
    return !m_isFiltered || failureDomain == ofMember;
}

bool Members::hasChanged(std::uint64_t revision, const std::string& failureDomain) const
{
    if (revision >= m_revision)
        return false;
    auto update = changesSince(revision, failureDomain);
    return update.isFull || !update.members.empty() || !update.departed.empty() || update.remoteTargets;
}

MemberUpdate Members::changesSince(std::uint64_t revision, const std::string& failureDomain) const
{
    MemberUpdate update {
        .isFull = revision == 0 || revision < m_tombstoneFloor || revision < m_filterChangedAt,
        .revision = m_revision,
        .startedMs = m_self.startedMs,
        .total = static_cast<int>(size()),
        .members = {},
        .departed = {},
    };
    auto isNew = [&](std::uint64_t changedAt) { return update.isFull || changedAt > revision; };
    if (isNew(m_selfChangedAt) && isVisibleTo(failureDomain, m_self.failureDomain))
        update.members.push_back(m_self);
    for (const auto& [control, other] : m_others) {
        if (isNew(other.changedAt) && isVisibleTo(failureDomain, other.member.failureDomain))
            update.members.push_back(other.member);
    }
    for (const auto& [control, tombstone] : m_tombstones) {
        if (!update.isFull && tombstone.changedAt > revision && isVisibleTo(failureDomain, tombstone.failureDomain))
            update.departed.push_back(control);
    }
    if (isNew(m_ownTargetsChangedAt)) {
        update.remoteTargets = m_ownTargets;
        std::erase_if(*update.remoteTargets, [&](const auto& it) { return it.failureDomain == failureDomain; });
    }
    return update;
}

bool Members::isCurrent(const Other& other, Common::TimePoint now) const
{
    return now <= other.contactUntil || (other.isListed && now - m_listedAt <= maxListAge);
}

std::optional<Common::Duration> Members::listAge(Common::TimePoint now) const
{
    return m_listedAt == Common::TimePoint() ? std::nullopt : std::optional(now - m_listedAt);
}

std::vector<std::string> Members::servingInOwnDomain() const
{
    std::vector<std::string> controls;
    for (const auto& member : all()) {
        if (member.serving && member.failureDomain == m_self.failureDomain)
            controls.push_back(member.control);
    }
    return controls;
}

std::vector<Member> Members::forwardingTargets(Common::TimePoint now) const
{
    std::vector<Member> current;
    std::vector<Member> older;
    auto add = [&](const Member& member, bool isCurrent) {
        if (member.serving && !member.forwarding.empty())
            (isCurrent ? current : older).push_back(member);
    };
    for (const auto& [control, other] : m_others)
        add(other.member, isCurrent(other, now));
    for (const auto& [control, member] : m_remoteTargets) {
        if (control != m_self.control && !m_others.contains(control))
            add(member, now - m_listedAt <= maxListAge);
    }
    return current.empty() ? older : current;
}

const Member* Members::find(const std::string& control) const
{
    if (auto it = m_others.find(control); it != m_others.end())
        return &it->second.member;
    auto it = m_remoteTargets.find(control);
    return it == m_remoteTargets.end() ? nullptr : &it->second;
}

std::vector<Member> Members::all() const
{
    std::vector<Member> list { m_self };
    for (const auto& [control, other] : m_others)
        list.push_back(other.member);
    return list;
}

std::vector<std::string> Members::addressesFor(const std::string& failureDomain, std::size_t limit, const Common::Hooks& hooks) const
{
    std::vector<std::string> own;
    std::vector<std::string> others;
    auto add = [&](const Member& member) {
        if (member.serving)
            (member.failureDomain == failureDomain ? own : others).push_back(member.callers);
    };
    add(m_self);
    for (const auto& [control, other] : m_others) {
        if (isCurrent(other, hooks.now()))
            add(other.member);
    }
    auto shuffle = [&](std::vector<std::string>& list) {
        for (std::size_t i = list.size(); i > 1; --i)
            std::swap(list[i - 1], list[Common::randomBelow(hooks, i)]);
    };
    shuffle(own);
    shuffle(others);
    if (own.size() < minOwnDomainAddresses)
        own.insert(own.end(), others.begin(), others.end());
    if (own.size() > limit)
        own.resize(limit);
    return own;
}

}
