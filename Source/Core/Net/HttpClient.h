#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <Poco/Net/StreamSocket.h>

#include "Net/BodyDecoder.h"
#include "Net/EventLoop.h"
#include "Net/HttpMessage.h"
#include "Net/MemoryBudget.h"
#include "Net/OutputBuffer.h"

namespace Net {

enum class FailureKind {
    Refused, // the connection could not be established
    ConnectTimeout,
    Reset,
    Closed, // the peer closed the connection before the response was complete
    Malformed,
    TooLarge,
    RequestTimedOut, // the time limit of the request expired
};

struct ClientFailure {
    FailureKind kind = FailureKind::Refused;
    bool bytesSent = false; // false: no byte of the request was written to the socket
    std::string detail = {}; // with Malformed: what was found and what was expected
};

std::string_view failureName(FailureKind);
// The kind and, if there is one, the detail.
std::string failureText(const ClientFailure&);

struct ClientHandlers {
    std::function<void(ResponseHead&&)> answered;
    std::function<void(const ClientFailure&)> failed;
    // Whether a response answers this request. On false the response is discarded and the next one awaited. Empty: every response matches.
    std::function<bool(const ResponseHead&)> matchesRequest = {};
    // If set, a response whose body exceeds ClientOptions::maxHeldBytes is passed on while it arrives: `started` gets the head with
    // the first part of the body, `continued` each further part; then comes `completed`, or `failed` if the body breaks off.
    std::function<void(ResponseHead&&)> started = {};
    std::function<void(std::string&&)> continued = {};
    std::function<void()> completed = {};
    std::size_t maxBodyBytes = 0; // of a body that is not passed on in parts; 0: ClientOptions::maxResponseBytes
    // If set, the request's body is given in parts by append(), up to endBody(); called whenever there is room again.
    std::function<void()> roomForBody = {};
};

struct ClientOptions {
    Common::Duration connectTimeout = std::chrono::seconds(1);
    // The kernel closes the connection when sent data or keep-alive probes stay unacknowledged for about this long.
    Common::Duration deadPeerTimeout = std::chrono::seconds(2);
    int sendBufferBytes = 0; // of the socket; 0: the kernel's default
    std::string sourceHost = {}; // IP address that the connection comes from; empty: the kernel chooses
    std::size_t maxResponseBytes = 8 * 1024 * 1024; // of a body that is not passed on in parts; a larger one fails the request with TooLarge
    std::size_t maxHeldBytes = 32 * 1024; // of a body, before it is passed on in parts
    MemoryBudget* budget = nullptr; // must outlive the connection; null: none
};

// Client connection that carries one request at a time. close() and destruction of the last owner drop a pending request without
// calling its handlers.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    // Starts to connect without blocking. `address` is ip:port.
    static std::shared_ptr<ClientConnection> open(EventLoop&, const std::string& address, const ClientOptions&);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    // Sends the request, once connected. `limit` bounds the time from this call to the complete response.
    void send(std::string bytes, bool expectsBody, Common::Duration limit, ClientHandlers);
    // More bytes of the request, which hasRoom() should allow.
    void append(std::string_view bytes);
    // The request is complete.
    void endBody();
    // Whether the connection stands and few bytes wait to be sent.
    bool hasRoom() const;
    void close();
    // While false, nothing is read, so that the peer has to wait.
    void setReading(bool);

    // Whether the connection is open or connecting and has no request pending.
    bool isFree() const { return !m_closed && !m_busy; }
    bool isClosed() const { return m_closed; }
    // Time at which the last response completed, or at which the connection was opened if there was none.
    Common::TimePoint lastUsed() const { return m_lastUsed; }
    // Idle timeout from the peer's Keep-Alive header, if it sent one.
    std::optional<int> idleTimeoutS() const { return m_idleTimeoutS; }
    // Sets a hook that is called once when the connection stands.
    void onConnected(std::function<void()> hook) { m_connectedHook = std::move(hook); }
    // Sets a hook that is called once if the connection fails or the peer closes it while no request is pending. close() does not
    // call it.
    void onIdleClose(std::function<void()> hook) { m_idleCloseHook = std::move(hook); }

private:
    ClientConnection(EventLoop&, const ClientOptions&);
    void start(const std::string& address);
    void onReady(Readiness);
    bool finishConnect();
    void writeOut();
    void onWriteFailed();
    void readIn();
    void consume();
    bool consumeHead();
    std::size_t maxBodyBytes() const { return m_handlers.maxBodyBytes != 0 ? m_handlers.maxBodyBytes : m_options.maxResponseBytes; }
    void passOnBody();
    void finish();
    // The peer has closed the connection, as far as reading tells.
    void onStreamEnd();
    bool isBodyEndedByClose();
    void fail(FailureKind, std::string detail = {});
    void updateInterest();
    void updateAccount();

    EventLoop& m_loop;
    ClientOptions m_options;
    MemoryAccount m_account;
    Poco::Net::StreamSocket m_socket;
    ClientHandlers m_handlers;
    OutputBuffer m_out;
    std::string m_in;
    std::optional<ResponseHead> m_head;
    std::optional<BodyDecoder> m_body;
    EventLoop::TimerId m_connectTimer = 0;
    EventLoop::TimerId m_requestTimer = 0;
    Common::TimePoint m_lastUsed;
    std::optional<int> m_idleTimeoutS;
    std::function<void()> m_connectedHook;
    std::function<void()> m_idleCloseHook;
    bool m_connected = false;
    bool m_busy = false;
    bool m_closed = false;
    bool m_bytesSent = false;
    bool m_isBodyOpen = false; // more of the request is to come
    bool m_hasWriteFailed = false; // the peer takes no more bytes, but may have responded before
    bool m_expectsBody = true;
    bool m_started = false; // the response being read is passed on in parts
    bool m_paused = false; // nothing is read
    bool m_discarding = false; // the response being read does not match the pending request
    std::size_t m_discardedBytes = 0; // of the response being read
    int m_interimResponses = 0; // since the last final response
    std::uint64_t m_responses = 0; // that completed
    std::uint64_t m_receivedBytes = 0;
    bool m_hasStaleResponse = false; // such a response was received: the connection must not be reused
};

// Sets TCP_NODELAY and makes the kernel detect an unresponsive peer after about deadPeerTimeout, by keep-alive and TCP_USER_TIMEOUT.
// `sendBufferBytes` 0 leaves the kernel's default.
void configureSocket(Poco::Net::StreamSocket&, Common::Duration deadPeerTimeout, int sendBufferBytes);

}
