#include "Decisions/CrashSuspects.h"

#include <algorithm>
#include <utility>

namespace Decisions {

CrashSuspects::CrashSuspects(CrashSuspectOptions options)
    : m_options(options)
{
}

bool CrashSuspects::addServer(Suspect& suspect, std::uint64_t server) const
{
    auto it = std::lower_bound(suspect.servers.begin(), suspect.servers.end(), server);
    if (suspect.servers.size() >= m_options.serversToBlock || (it != suspect.servers.end() && *it == server))
        return false;
    suspect.servers.insert(it, server);
    return true;
}

void CrashSuspects::markChanged(Suspect& suspect)
{
    suspect.changedAt = ++m_revision;
    if (suspect.servers.size() >= m_options.serversToShare)
        m_sharedRevision = m_revision;
}

bool CrashSuspects::recordCrash(std::uint64_t identity, std::uint64_t server, Common::TimePoint now)
{
    if (!m_suspects.contains(identity))
        makeRoom();
    auto& suspect = m_suspects[identity];
    suspect.lastSeen = now;
    auto isNew = addServer(suspect, server);
    if (wasAnswered(identity) && !suspect.answered)
        isNew = suspect.answered = true;
    if (isNew)
        markChanged(suspect);
    return isNew;
}

void CrashSuspects::recordAnswer(std::uint64_t identity)
{
    m_answered.insert(identity);
    if (m_answered.size() >= m_options.answeredMemory)
        m_answeredBefore = std::exchange(m_answered, {});
    auto it = m_suspects.find(identity);
    if (it == m_suspects.end() || it->second.answered)
        return;
    it->second.answered = true;
    markChanged(it->second);
}

bool CrashSuspects::refuses(std::uint64_t identity, Common::TimePoint now)
{
    auto it = m_suspects.find(identity);
    if (it == m_suspects.end() || !isBlocked(it->second))
        return false;
    it->second.lastSeen = now;
    return true;
}

bool CrashSuspects::isBlocked(std::uint64_t identity) const
{
    auto it = m_suspects.find(identity);
    return it != m_suspects.end() && isBlocked(it->second);
}

std::size_t CrashSuspects::crashes(std::uint64_t identity) const
{
    auto it = m_suspects.find(identity);
    return it == m_suspects.end() || it->second.answered ? 0 : it->second.servers.size();
}

bool CrashSuspects::merge(const std::vector<CrashReport>& reports, Common::TimePoint now)
{
    auto before = m_sharedRevision;
    for (const auto& report : reports) {
        if (!m_suspects.contains(report.identity))
            makeRoom();
        auto& suspect = m_suspects[report.identity];
        auto isNew = false;
        for (auto server : report.servers)
            isNew = addServer(suspect, server) || isNew;
        if ((report.answered || wasAnswered(report.identity)) && !suspect.answered)
            isNew = suspect.answered = true;
        if (!isNew)
            continue;
        suspect.lastSeen = now;
        markChanged(suspect);
    }
    return m_sharedRevision != before;
}

std::vector<CrashReport> CrashSuspects::learnedSince(std::uint64_t revision) const
{
    std::vector<CrashReport> reports;
    for (const auto& [identity, suspect] : m_suspects) {
        if (suspect.changedAt > revision)
            reports.push_back({ .identity = identity, .servers = suspect.servers, .answered = suspect.answered });
    }
    return reports;
}

std::vector<CrashReport> CrashSuspects::sharedSince(std::uint64_t revision) const
{
    auto reports = learnedSince(revision);
    std::erase_if(reports, [&](const auto& report) { return report.servers.size() < m_options.serversToShare; });
    return reports;
}

std::vector<CrashReport> CrashSuspects::blockedReports() const
{
    auto reports = learnedSince(0);
    std::erase_if(reports, [&](const auto& report) { return !isBlocked(report.identity); });
    std::sort(reports.begin(), reports.end(), [](const auto& a, const auto& b) { return a.identity < b.identity; });
    return reports;
}

void CrashSuspects::expire(Common::TimePoint now)
{
    std::erase_if(m_suspects, [&](const auto& it) {
        return now - it.second.lastSeen > (isBlocked(it.second) ? m_options.blockMemory : m_options.suspectMemory);
    });
}

// Makes room for one more: the suspect seen longest ago goes, blocked ones last.
void CrashSuspects::makeRoom()
{
    if (m_suspects.size() < m_options.maxSuspects)
        return;
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), [&](const auto& a, const auto& b) {
        return std::pair(isBlocked(a.second), a.second.lastSeen) < std::pair(isBlocked(b.second), b.second.lastSeen);
    }));
}

std::size_t CrashSuspects::blocked() const
{
    return static_cast<std::size_t>(std::count_if(m_suspects.begin(), m_suspects.end(), [&](const auto& it) { return isBlocked(it.second); }));
}

}
