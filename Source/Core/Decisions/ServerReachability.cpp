#include "Decisions/ServerReachability.h"

#include <algorithm>

namespace Decisions {

namespace {

    // Servers that have to fail in a row. With fewer servers in the service, all of them.
    constexpr std::size_t minFailedServers = 3;
    // Failures are forgotten after this time.
    constexpr auto failureMemory = std::chrono::seconds(2);

}

void ServerReachability::Evidence::record(const Contact& contact, Common::TimePoint now)
{
    if (contact.answered) {
        lastAnswer = now;
        failedAt.clear();
        return;
    }
    // A failure shows late that it is one: servers that answered meanwhile prove that the path stands.
    if (lastAnswer && *lastAnswer >= contact.sentAt)
        return;
    std::erase_if(failedAt, [&](const auto& it) { return now - it.second > failureMemory; });
    failedAt[contact.server] = now;
}

std::size_t ServerReachability::Evidence::failedServers(Common::TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(failedAt.begin(), failedAt.end(), [&](const auto& it) { return now - it.second <= failureMemory; }));
}

bool ServerReachability::Evidence::isCut(const std::function<std::size_t()>& servers, Common::TimePoint now) const
{
    auto failed = failedServers(now);
    if (failed == 0)
        return false;
    auto needed = std::min(minFailedServers, servers());
    return needed > 0 && failed >= needed;
}

void ServerReachability::record(const Contact& contact, Common::TimePoint now)
{
    m_all.record(contact, now);
    if (contact.isNewConnection)
        m_newConnections.record(contact, now);
}

Reachability ServerReachability::state(const std::function<std::size_t()>& servers, Common::TimePoint now) const
{
    if (m_all.isCut(servers, now))
        return Reachability::Unreachable;
    return m_newConnections.isCut(servers, now) ? Reachability::NoNewConnections : Reachability::Reachable;
}

}
