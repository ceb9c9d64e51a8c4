#include "Gateway/Members.h"

#include <algorithm>
#include <set>

namespace Gateway {

namespace {

    // A member asks its relay for news at least once a second.
    constexpr auto silenceLimit = std::chrono::milliseconds(2500);
    // With fewer entries of the caller's own domain, all domains are named: one of them may be gone already.
    constexpr std::size_t fewAddresses = 3;

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
    ++m_revision;
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
    ++m_revision;
    return true;
}

void Members::suspect(const std::string& control, Common::TimePoint until)
{
    auto it = m_others.find(control);
    if (it != m_others.end())
        it->second.keepUntil = std::min(it->second.keepUntil, until);
}

bool Members::expire(Common::TimePoint now)
{
    auto n = std::erase_if(m_others, [now](const auto& row) { return row.second.keepUntil < now; });
    if (n > 0)
        ++m_revision;
    return n > 0;
}

void Members::replace(const std::vector<Member>& list, std::uint64_t revision, Common::TimePoint now)
{
    std::map<std::string, Other> others;
    for (const auto& member : list) {
        if (member.control != m_self.control)
            others[member.control] = { .member = member, .keepUntil = now + silenceLimit };
    }
    m_others = std::move(others);
    m_revision = std::max(m_revision + 1, revision);
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
