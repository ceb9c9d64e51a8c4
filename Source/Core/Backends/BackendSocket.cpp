#include "Backends/BackendSocket.h"

namespace Backends {

int BackendSocket::sendBytes(const void* buffer, int length, int flags)
{
    auto n = StreamSocketImpl::sendBytes(buffer, length, flags);
    if (n > 0)
        m_bytesSent += static_cast<std::uint64_t>(n);
    return n;
}

int BackendSocket::receiveBytes(void* buffer, int length, int flags)
{
    auto n = StreamSocketImpl::receiveBytes(buffer, length, flags);
    if (n > 0)
        m_bytesReceived += static_cast<std::uint64_t>(n);
    else if (n == 0)
        m_ended = true;
    return n;
}

void BackendSocket::resetCounts()
{
    m_bytesSent = 0;
    m_bytesReceived = 0;
}

}
