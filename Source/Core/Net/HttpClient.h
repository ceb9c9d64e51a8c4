#pragma once

#include <functional>
#include <memory>
#include <string>

#include <Poco/Net/StreamSocket.h>

#include "Net/BodyDecoder.h"
#include "Net/EventLoop.h"
#include "Net/HttpMessage.h"

namespace Net {

enum class FailureKind {
    Refused, // no connection came about
    ConnectTimeout,
    Reset,
    Closed, // an orderly end before the whole answer
    Malformed,
    TooLarge,
    Overdue, // the time given with the request has passed
};

std::string_view failureName(FailureKind);

struct ClientFailure {
    FailureKind kind = FailureKind::Refused;
    bool bytesSent = false; // false: no byte of the request left this process
};

struct ClientHandlers {
    std::function<void(ResponseHead&&)> answered;
    std::function<void(ClientFailure)> failed;
    // Whether the answer is the one to this request; false drops it and waits on. Empty: every answer is.
    std::function<bool(const ResponseHead&)> belongs = {};
};

struct ClientOptions {
    Common::Duration connectTimeout = std::chrono::seconds(1);
    // Unacknowledged bytes or silence of this length end the connection.
    Common::Duration silenceLimit = std::chrono::seconds(2);
    std::size_t maxAnswerBytes = 8 * 1024 * 1024;
};

// One client connection, one request at a time. Ends without calling back when close() is called or the last owner lets go.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    // Starts to connect. `address` is ip:port.
    static std::shared_ptr<ClientConnection> open(EventLoop&, const std::string& address, const ClientOptions&);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    // Sends when connected; `limit` bounds the time to the whole answer.
    void send(std::string bytes, bool expectsBody, Common::Duration limit, ClientHandlers);
    void close();

    // Connected or connecting, and free for a request.
    bool isFree() const { return !m_closed && !m_busy; }
    bool isClosed() const { return m_closed; }
    // When the last answer was complete; the time of opening before the first.
    Common::TimePoint lastUsed() const { return m_lastUsed; }
    // The peer's announced limit for idle connections, where it told one.
    std::optional<int> idleTimeoutS() const { return m_idleTimeoutS; }
    // Called once when the peer ends the connection while it is free.
    void onIdleEnd(std::function<void()> hook) { m_idleEnd = std::move(hook); }

private:
    ClientConnection(EventLoop&, const ClientOptions&);
    void start(const std::string& address);
    void onReady(Readiness);
    bool finishConnect();
    void writeOut();
    void readIn();
    void consume();
    bool consumeHead();
    void finish();
    void fail(FailureKind);
    void updateInterest();

    EventLoop& m_loop;
    ClientOptions m_options;
    Poco::Net::StreamSocket m_socket;
    ClientHandlers m_handlers;
    std::string m_out;
    std::string m_in;
    std::optional<ResponseHead> m_head;
    std::optional<BodyDecoder> m_body;
    EventLoop::TimerId m_connectTimer = 0;
    EventLoop::TimerId m_limitTimer = 0;
    Common::TimePoint m_lastUsed;
    std::optional<int> m_idleTimeoutS;
    std::function<void()> m_idleEnd;
    bool m_connected = false;
    bool m_busy = false;
    bool m_closed = false;
    bool m_bytesSent = false;
    bool m_expectsBody = true;
    bool m_discarding = false; // the answer being read belongs to another request
    bool m_tainted = false; // has carried such an answer: not to be used again
};

// Closes at process end without TIME-WAIT trouble for the peer; sets what every connection of ours needs.
void configureSocket(Poco::Net::StreamSocket&, Common::Duration silenceLimit);

}
