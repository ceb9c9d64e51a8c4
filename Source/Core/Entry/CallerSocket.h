#pragma once

#include <array>
#include <string>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include "Common/Clock.h"

namespace Entry {

// More bytes arrived for one request than its budget allows.
class BudgetExceeded : public Poco::IOException {
public:
    using IOException::IOException;
};

// A caller's connection that bounds each request in bytes and in time, however slowly the bytes come.
class CallerSocket : public Poco::Net::StreamSocketImpl {
public:
    explicit CallerSocket(poco_socket_t);

    // Starts a budget. receiveBytes() throws BudgetExceeded above `bytes` and TimeoutException after `deadline`.
    void allow(std::size_t bytes, Common::TimePoint deadline);
    // The caller closed its side, or its half of the connection.
    bool ended() const { return m_ended; }
    // The last bytes received before the latest `unread` ones, at most `count`.
    std::string tail(std::size_t count, std::size_t unread) const;

    int receiveBytes(void* buffer, int length, int flags = 0) override;

protected:
    ~CallerSocket() override = default;

private:
    std::size_t m_bytesLeft = 0;
    Common::TimePoint m_deadline;
    bool m_ended = false;
    std::string m_recent; // the latest bytes, at most one read and what preceded it
};

// Accepts callers as CallerSocket.
class CallerServerSocket : public Poco::Net::ServerSocket {
public:
    CallerServerSocket();
};

}
