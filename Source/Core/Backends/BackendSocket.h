#pragma once

#include <cstdint>

#include <Poco/Net/StreamSocketImpl.h>

#include "Common/Clock.h"

namespace Backends {

// How the kernel is to notice a peer that has gone without a word.
struct SilenceOptions {
    Common::Duration unacknowledgedLimit = std::chrono::seconds(5); // sent bytes or keep-alive probes without an acknowledgement
    Common::Duration keepAliveIdle = std::chrono::seconds(5); // quiet time before the first keepalive segment
    Common::Duration keepAliveInterval = std::chrono::seconds(2);
};

// A TCP socket that remembers what passed through it: the evidence for what may be said of a request.
// Reading and writing end at a deadline, however slowly the bytes come.
class BackendSocket : public Poco::Net::StreamSocketImpl {
public:
    // Throw Poco::TimeoutException at the deadline, Poco::Net exceptions on a broken connection.
    int sendBytes(const void* buffer, int length, int flags = 0) override;
    int receiveBytes(void* buffer, int length, int flags = 0) override;

    // For all that follows; none by default.
    void setDeadline(Common::TimePoint deadline) { m_deadline = deadline; }
    // To be called once connected.
    void configure(const SilenceOptions&);

    // Bytes that the kernel took since the last reset.
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }
    // The peer has closed its side.
    bool ended() const { return m_ended; }
    void resetCounts();

protected:
    ~BackendSocket() override = default;

private:
    void waitFor(short events) const;

    Common::TimePoint m_deadline = Common::TimePoint::max();
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    bool m_ended = false;
};

// Milliseconds for poll(2) until `deadline`, rounded up; -1 where there is none.
int pollTimeout(Common::TimePoint deadline);

}
