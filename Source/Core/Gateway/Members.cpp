#include "Gateway/Members.h"

#include <algorithm>

namespace Gateway {

namespace {

    // A member asks its relay for news at least once a second.
    constexpr auto silenceLimit = std::chrono::milliseconds(2500);
    // With fewer entries of the caller's own domain, all domains are named: one of them may be gone already.
    constexpr std::size_t fewAddresses = 3;
    // Up to so many members everybody gets the whole list.
    constexpr std::size_t smallList = 48;
    // Members remembered after they have gone.
    constexpr std::size_t maxGone = 512;

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

bool Members::heard(const Member& member, Common::TimePoint now)
{
    if (member.control == m_self.control)
        return false;
    auto& other = m_others[member.control];
    other.keepUntil = now + silenceLimit;
    if (other.member == member)
        return false;
    other.member = member;
    other.changedAt = ++m_revision;
    m_gone.erase(member.control);
    m_total = m_others.size() + 1;
    return true;
}

void Members::suspect(const std::string& control, Common::TimePoint until)
{
    auto it = m_others.find(control);
    if (it != m_others.end())
        it->second.keepUntil = std::min(it->second.keepUntil, until);
}

void Members::drop(std::map<std::string, Other>::iterator it)
{
    m_gone[it->first] = { .failureDomain = it->second.member.failureDomain, .changedAt = ++m_revision };
    m_others.erase(it);
    while (m_gone.size() > maxGone) {
        auto oldest = std::min_element(m_gone.begin(), m_gone.end(), [](const auto& a, const auto& b) { return a.second.changedAt < b.second.changedAt; });
        m_goneFloor = std::max(m_goneFloor, oldest->second.changedAt);
        m_gone.erase(oldest);
    }
}

bool Members::expire(Common::TimePoint now)
{
    auto before = m_others.size();
    for (auto it = m_others.begin(); it != m_others.end();) {
        auto place = it++;
        if (place->second.keepUntil < now)
            drop(place);
    }
    m_total = m_others.size() + 1;
    return m_others.size() != before;
}

void Members::apply(const MemberUpdate& update, Common::TimePoint now)
{
    if (update.whole) {
        for (auto it = m_others.begin(); it != m_others.end();) {
            auto place = it++;
            auto isNamed = std::any_of(update.members.begin(), update.members.end(), [&](const auto& member) { return member.control == place->first; });
            if (!isNamed)
                drop(place);
        }
    }
    for (const auto& member : update.members)
        heard(member, now);
    for (const auto& control : update.gone) {
        if (auto it = m_others.find(control); it != m_others.end())
            drop(it);
    }
    for (auto& [control, other] : m_others)
        other.keepUntil = now + silenceLimit;
    m_total = static_cast<std::size_t>(std::max(1, update.total));
}

bool Members::isFor(const std::string& failureDomain, const std::string& ofMember) const
{
    return m_others.size() < smallList || failureDomain == ofMember;
}

bool Members::hasChanged(std::uint64_t revision, const std::string& failureDomain) const
{
    if (revision >= m_revision)
        return false;
    auto update = changesSince(revision, failureDomain);
    return update.whole || !update.members.empty() || !update.gone.empty();
}

MemberUpdate Members::changesSince(std::uint64_t revision, const std::string& failureDomain) const
{
    MemberUpdate update { .whole = revision == 0 || revision < m_goneFloor, .revision = m_revision, .total = static_cast<int>(m_others.size() + 1), .members = {}, .gone = {} };
    auto isNew = [&](std::uint64_t changedAt) { return update.whole || changedAt > revision; };
    if (isNew(m_selfChangedAt) && isFor(failureDomain, m_self.failureDomain))
        update.members.push_back(m_self);
    for (const auto& [control, other] : m_others) {
        if (isNew(other.changedAt) && isFor(failureDomain, other.member.failureDomain))
            update.members.push_back(other.member);
    }
    for (const auto& [control, gone] : m_gone) {
        if (!update.whole && gone.changedAt > revision && isFor(failureDomain, gone.failureDomain))
            update.gone.push_back(control);
    }
    return update;
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
    for (const auto& member : all()) {
        if (member.serving)
            (member.failureDomain == failureDomain ? own : others).push_back(member.callers);
    }
    auto shuffle = [&](std::vector<std::string>& list) {
        for (std::size_t i = list.size(); i > 1; --i)
            std::swap(list[i - 1], list[Common::randomBelow(hooks, i)]);
    };
    shuffle(own);
    shuffle(others);
    if (own.size() < fewAddresses)
        own.insert(own.end(), others.begin(), others.end());
    if (own.size() > limit)
        own.resize(limit);
    return own;
}

}
