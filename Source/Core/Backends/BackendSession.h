#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>

#include "Backends/BackendSocket.h"
#include "Common/Clock.h"
#include "Decisions/AttemptOutcome.h"
#include "Net/HttpMessage.h"

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
    SilenceOptions silence = {};
};

// Whether method, target and headers hold nothing that would end a line or a field early.
bool isCleanRequest(const BackendRequest&);

// One connection to a backend server, one request at a time. It never connects or sends again by itself.
class BackendSession : private Poco::Net::HTTPClientSession {
public:
    explicit BackendSession(SessionOptions);

    // Opens the connection; the stage stays Connecting on failure.
    Decisions::AttemptEnd open(Common::Duration timeout);
    // Sends head and body in one write. A stale kept connection is noticed before any byte is handed over, and a request
    // that is not clean is not sent (Malformed before any byte).
    Decisions::AttemptEnd send(const BackendRequest&, Common::Duration timeout);
    // Reads the whole answer and checks its length; interim answers (1xx) are skipped.
    Decisions::AttemptEnd receive(BackendAnswer&, Common::TimePoint deadline);

    // Whether the connection may carry another request.
    bool reusable() const { return m_reusable; }
    // For poll(): readable when the answer begins.
    Poco::Net::StreamSocket& pollSocket() { return socket(); }
    Common::TimePoint lastHeard() const { return m_lastHeard; }
    // When the request was sent that got no byte back until its deadline; nothing after any other end.
    std::optional<Common::TimePoint> silentSince() const { return m_silentSince; }
    // Closes a connection found stale by send(); open() may follow.
    void closeStale();
    // Ends a wait without an answer; the connection cannot be used again.
    Decisions::AttemptEnd abandon(Decisions::AttemptFault);

protected:
    int write(const char* buffer, std::streamsize length) override;
    bool mustReconnect() const override { return false; }

private:
    bool isStale();
    Decisions::AttemptEnd endOfSend(Decisions::AttemptFault) const;
    Decisions::AttemptEnd endOfReceive(Decisions::AttemptFault);
    Decisions::AttemptFault readHead(Net::ResponseHead&);
    Decisions::AttemptFault readBody(const Net::ResponseHead&, BackendAnswer&);

    SessionOptions m_options;
    BackendSocket* m_socket; // owned by the session's socket
    std::string m_outgoing;
    bool m_reusable = false;
    bool m_head = false; // the request in flight is a HEAD
    Common::TimePoint m_lastHeard;
    Common::TimePoint m_sentAt;
    std::optional<Common::TimePoint> m_silentSince;
};

}
