#include "Backends/ConnectionPool.h"

#include <algorithm>

namespace Backends {

namespace {

    Common::TimePoint now()
    {
        return Common::TimePoint(std::chrono::steady_clock::now());
    }

}

ConnectionPool::ConnectionPool(ConnectionPoolOptions options)
    : m_options(std::move(options))
{
}

ConnectionPool::Lease ConnectionPool::acquire(Common::Duration freshness)
{
    Sessions retired; // closed outside the lock
    std::lock_guard lock(m_mutex);
    auto time = now();
    dropHeardBefore(std::max(m_suspectBefore, time - m_options.idleLimit), retired);
    if (!m_idle.empty() && time - m_idle.back()->lastHeard() <= freshness) {
        auto session = std::move(m_idle.back());
        m_idle.pop_back();
        return { .session = std::move(session), .kept = true };
    }
    if (m_open >= m_options.limit && !m_idle.empty()) {
        retired.push_back(std::move(m_idle.front()));
        m_idle.erase(m_idle.begin());
        --m_open;
    }
    if (m_open >= m_options.limit)
        return {};
    ++m_open;
    return { .session = std::make_unique<BackendSession>(m_options.session), .kept = false };
}

void ConnectionPool::release(std::unique_ptr<BackendSession> session)
{
    Sessions retired;
    auto silentSince = session->silentSince();
    auto suspect = silentSince && now() - *silentSince >= m_options.silenceLimit;
    {
        std::lock_guard lock(m_mutex);
        if (suspect) {
            m_suspectBefore = std::max(m_suspectBefore, *silentSince);
            dropHeardBefore(m_suspectBefore, retired);
        }
        if (session->reusable() && session->lastHeard() >= m_suspectBefore && m_open <= m_options.limit) {
            m_idle.push_back(std::move(session));
        } else {
            --m_open;
            retired.push_back(std::move(session));
        }
    }
    if (suspect && m_options.onSuspect)
        m_options.onSuspect(static_cast<int>(retired.size()) - 1);
}

void ConnectionPool::setLimit(int limit)
{
    Sessions retired;
    std::lock_guard lock(m_mutex);
    m_options.limit = limit;
    while (m_open > m_options.limit && !m_idle.empty()) {
        retired.push_back(std::move(m_idle.front()));
        m_idle.erase(m_idle.begin());
        --m_open;
    }
}

int ConnectionPool::open() const
{
    std::lock_guard lock(m_mutex);
    return m_open;
}

void ConnectionPool::dropHeardBefore(Common::TimePoint oldest, Sessions& retired)
{
    auto keep = [&](const auto& session) { return session->lastHeard() >= oldest; };
    auto it = std::stable_partition(m_idle.begin(), m_idle.end(), keep);
    m_open -= static_cast<int>(m_idle.end() - it);
    std::move(it, m_idle.end(), std::back_inserter(retired));
    m_idle.erase(it, m_idle.end());
}

}
