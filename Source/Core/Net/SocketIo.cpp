#include "Net/SocketIo.h"

#include <algorithm>
#include <cerrno>
#include <limits>

#include <Poco/Exception.h>

namespace Net {

std::size_t sendAvailable(Poco::Net::StreamSocket& socket, std::string_view bytes)
{
    constexpr std::size_t maxBytes = std::numeric_limits<int>::max();
    try {
        auto n = socket.sendBytes(bytes.data(), static_cast<int>(std::min(bytes.size(), maxBytes)));
        return n > 0 ? static_cast<std::size_t>(n) : 0;
    } catch (const Poco::TimeoutException& ec) {
        // sendBytes() throws it for a full buffer, and also when the kernel has given up a silent connection (TCP_USER_TIMEOUT). That
        // error is reported once: later calls see an orderly end of the stream.
        if (ec.code() == ETIMEDOUT)
            throw;
        return 0;
    } catch (const Poco::IOException& ec) {
        // Unlike receiveBytes(), sendBytes() throws when a non-blocking socket would block.
        if (ec.code() == EAGAIN || ec.code() == EWOULDBLOCK)
            return 0;
        throw;
    }
}

}
