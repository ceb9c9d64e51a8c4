#include "Backends/BackendSocket.h"

#include <algorithm>
#include <limits>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <Poco/Exception.h>

namespace Backends {

namespace {

    bool mustWait(int errorNumber)
    {
        return errorNumber == EAGAIN || errorNumber == EWOULDBLOCK;
    }

    int seconds(Common::Duration duration)
    {
        return static_cast<int>(std::chrono::ceil<std::chrono::seconds>(duration).count());
    }

}

int pollTimeout(Common::TimePoint deadline)
{
    if (deadline == Common::TimePoint::max())
        return -1;
    auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - Common::TimePoint(std::chrono::steady_clock::now())).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, std::numeric_limits<int>::max()));
}

// Non-blocking calls and poll(2) instead of SO_RCVTIMEO and SO_SNDTIMEO: no system call to set a deadline, and bytes that
// trickle in do not renew it.
int BackendSocket::sendBytes(const void* buffer, int length, int flags)
{
    while (true) {
        auto n = ::send(sockfd(), buffer, static_cast<std::size_t>(length), flags | MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n >= 0) {
            m_bytesSent += static_cast<std::uint64_t>(n);
            return static_cast<int>(n);
        }
        if (mustWait(errno))
            waitFor(POLLOUT);
        else if (errno != EINTR)
            error();
    }
}

int BackendSocket::receiveBytes(void* buffer, int length, int flags)
{
    // A peer that never pauses is held to the deadline too; a first read takes what is already here.
    if (m_bytesReceived > 0 && Common::TimePoint(std::chrono::steady_clock::now()) >= m_deadline)
        throw Poco::TimeoutException();
    while (true) {
        auto n = ::recv(sockfd(), buffer, static_cast<std::size_t>(length), flags | MSG_DONTWAIT);
        if (n >= 0) {
            m_bytesReceived += static_cast<std::uint64_t>(n);
            m_ended = m_ended || n == 0;
            return static_cast<int>(n);
        }
        if (mustWait(errno))
            waitFor(POLLIN);
        else if (errno != EINTR)
            error();
    }
}

void BackendSocket::configure(const SilenceOptions& options)
{
    setNoDelay(true);
    setKeepAlive(true);
    setOption(IPPROTO_TCP, TCP_KEEPIDLE, seconds(options.keepAliveIdle));
    setOption(IPPROTO_TCP, TCP_KEEPINTVL, seconds(options.keepAliveInterval));
    // With this set, the number of keep-alive probes (TCP_KEEPCNT) has no effect.
    setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(Common::toMilliseconds(options.unacknowledgedLimit)));
}

void BackendSocket::resetCounts()
{
    m_bytesSent = 0;
    m_bytesReceived = 0;
}

void BackendSocket::waitFor(short events) const
{
    pollfd item { .fd = sockfd(), .events = events, .revents = 0 };
    if (::poll(&item, 1, pollTimeout(m_deadline)) == 0)
        throw Poco::TimeoutException();
}

}
