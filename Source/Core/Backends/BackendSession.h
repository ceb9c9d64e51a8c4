#pragma once

#include <string>
#include <utility>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>

#include "Backends/BackendSocket.h"
#include "Common/Clock.h"
#include "Decisions/AttemptOutcome.h"

namespace Backends {

using Header = std::pair<std::string, std::string>;

struct BackendRequest {
    std::string method;
    std::string target; // path and query
    std::vector<Header> headers;
    std::string_view body;
};

struct BackendAnswer {
    int status = 0;
    std::vector<Header> headers;
    std::string body;
};

struct SessionOptions {
    std::string address; // ip:port
    std::size_t answerBytes = 8 * 1024 * 1024; // a longer body is refused
};

// One connection to a backend server, one request at a time. It never connects or sends again by itself.
class BackendSession : private Poco::Net::HTTPClientSession {
public:
    explicit BackendSession(SessionOptions);

    // Opens the connection; the stage stays Connecting on failure.
    Decisions::AttemptEnd open(Common::Duration timeout);
    // Sends head and body in one write. A stale kept connection is noticed before any byte is handed over.
    Decisions::AttemptEnd send(const BackendRequest&, Common::Duration timeout);
    // Reads the whole answer and checks its length.
    Decisions::AttemptEnd receive(BackendAnswer&, Common::TimePoint deadline);

    // Whether the connection may carry another request.
    bool reusable() const { return m_reusable; }
    // For poll(): readable when the answer begins.
    Poco::Net::StreamSocket& pollSocket() { return socket(); }
    Common::TimePoint lastHeard() const { return m_lastHeard; }
    void closeNow();

protected:
    int write(const char* buffer, std::streamsize length) override;
    bool mustReconnect() const override { return false; }

private:
    bool isStale();
    Decisions::AttemptEnd endOfSend(Decisions::AttemptFault) const;
    Decisions::AttemptEnd endOfReceive(Decisions::AttemptFault) const;
    Decisions::AttemptFault readBody(std::istream&, BackendAnswer&, Common::TimePoint deadline);
    void setTimeouts(Common::Duration);

    SessionOptions m_options;
    BackendSocket* m_socket; // owned by the session's socket
    std::string m_outgoing;
    bool m_reusable = false;
    bool m_head = false; // the request in flight is a HEAD
    Common::TimePoint m_lastHeard;
};

}
