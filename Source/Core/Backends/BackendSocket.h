#pragma once

#include <atomic>
#include <cstdint>

#include <Poco/Net/StreamSocketImpl.h>

namespace Backends {

// A TCP socket that remembers what passed through it: the evidence for what may be said of a request.
class BackendSocket : public Poco::Net::StreamSocketImpl {
public:
    int sendBytes(const void* buffer, int length, int flags = 0) override;
    int receiveBytes(void* buffer, int length, int flags = 0) override;

    // Bytes that the kernel took since the last reset.
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }
    // The peer has closed its side.
    bool ended() const { return m_ended; }
    void resetCounts();

protected:
    ~BackendSocket() override = default;

private:
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    bool m_ended = false;
};

}
