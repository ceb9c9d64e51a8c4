#include "Backends/ConnectionPool.h"

namespace Backends {

ConnectionPool::ConnectionPool(ConnectionPoolOptions options)
    : m_options(std::move(options))
{
}

ConnectionPool::Lease ConnectionPool::acquire()
{
    std::vector<std::unique_ptr<BackendSession>> retired; // closed outside the lock
    std::lock_guard lock(m_mutex);
    auto oldest = Common::TimePoint(std::chrono::steady_clock::now()) - m_options.idleLimit;
    while (!m_idle.empty()) {
        auto session = std::move(m_idle.back());
        m_idle.pop_back();
        if (session->lastHeard() >= oldest)
            return { .session = std::move(session), .kept = true };
        --m_open;
        retired.push_back(std::move(session));
    }
    if (m_open >= m_options.limit)
        return {};
    ++m_open;
    return { .session = std::make_unique<BackendSession>(m_options.session), .kept = false };
}

void ConnectionPool::release(std::unique_ptr<BackendSession> session)
{
    std::unique_ptr<BackendSession> ended;
    std::lock_guard lock(m_mutex);
    if (session->reusable()) {
        m_idle.push_back(std::move(session));
        return;
    }
    --m_open;
    ended = std::move(session);
}

int ConnectionPool::open() const
{
    std::lock_guard lock(m_mutex);
    return m_open;
}

}
