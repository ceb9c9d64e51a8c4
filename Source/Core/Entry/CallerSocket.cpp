#include "Entry/CallerSocket.h"

#include <sys/socket.h>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/SocketAddress.h>

namespace Entry {

namespace {

    // The library reads in blocks of 4 KiB; what is kept besides covers the end of a chunked body.
    constexpr std::size_t recentBytes = 4096 + 64;

    class CallerServerSocketImpl : public Poco::Net::ServerSocketImpl {
    public:
        Poco::Net::SocketImpl* acceptConnection(Poco::Net::SocketAddress& callerAddress) override
        {
            sockaddr_storage storage {};
            socklen_t length = sizeof(storage);
            auto fd = ::accept4(sockfd(), reinterpret_cast<sockaddr*>(&storage), &length, SOCK_CLOEXEC);
            if (fd < 0)
                error(lastError());
            callerAddress = Poco::Net::SocketAddress(reinterpret_cast<sockaddr*>(&storage), length);
            return new CallerSocket(fd);
        }

    protected:
        ~CallerServerSocketImpl() override = default;
    };

}

CallerSocket::CallerSocket(poco_socket_t fd)
    : StreamSocketImpl(fd)
{
}

void CallerSocket::allow(std::size_t bytes, Common::TimePoint deadline)
{
    m_bytesLeft = bytes;
    m_deadline = deadline;
}

std::string CallerSocket::tail(std::size_t count, std::size_t unread) const
{
    auto end = m_recent.size() - std::min(unread, m_recent.size());
    auto begin = end - std::min(count, end);
    return m_recent.substr(begin, end - begin);
}

int CallerSocket::receiveBytes(void* buffer, int length, int flags)
{
    if (Common::TimePoint(std::chrono::steady_clock::now()) >= m_deadline)
        throw Poco::TimeoutException("the request was not received whole in time");
    auto n = StreamSocketImpl::receiveBytes(buffer, length, flags);
    if (n <= 0) {
        m_ended = m_ended || n == 0;
        return n;
    }
    auto received = static_cast<std::size_t>(n);
    if (received > m_bytesLeft)
        throw BudgetExceeded("the request is too large");
    m_bytesLeft -= received;
    m_recent.append(static_cast<const char*>(buffer), received);
    if (m_recent.size() > recentBytes)
        m_recent.erase(0, m_recent.size() - recentBytes);
    return n;
}

CallerServerSocket::CallerServerSocket()
    : ServerSocket(new CallerServerSocketImpl, true)
{
}

}
