#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "Common/Result.h"
#include "Net/BodyDecoder.h"
#include "Net/EventLoop.h"
#include "Net/HttpMessage.h"
#include "Net/MemoryBudget.h"

namespace Net {

class ServerConnection;

// Limits on the memory and time that one client connection may use. Requests that exceed them are rejected.
struct ServerLimits {
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    Common::Duration readTimeout = std::chrono::seconds(5); // from the first byte of a request to its last; then 408
    Common::Duration idleTimeout = std::chrono::seconds(60); // a persistent connection without a request; then closed
};

// A request together with its pending response. Responses of one connection are sent in the order of its requests.
class Exchange {
public:
    Exchange(std::weak_ptr<ServerConnection>, Request, Common::TimePoint received);

    const Request& request() const { return m_request; }
    Request& request() { return m_request; }
    Common::TimePoint received() const { return m_received; }
    // Whether the client closed the connection, so that a response can no longer be delivered.
    bool isClientClosed() const { return m_clientClosed; }
    // Whether the whole body is in request().body. Otherwise that is its start, and takeBody() gives the rest while it arrives.
    bool isBodyWhole() const { return m_isBodyWhole; }
    Framing bodyFraming() const { return m_bodyFraming; }
    // With Framing::Length.
    std::size_t requestBodyLength() const { return m_requestBodyLength; }
    // Bytes behind the start of the body that have come since the last call. While many are not taken, nothing is read.
    std::string takeBody();
    // Whether all of the body has been received; takeBody() may still have bytes of it.
    bool isBodyReceived() const { return m_isBodyReceived; }
    // The status to respond with if the body is invalid, too large or stalls, so that it can't be completed.
    std::optional<int> bodyFault() const { return m_bodyFault; }
    // Sets a hook that is called whenever more of the body has come, at its end, and when it can't be completed.
    void onBody(std::function<void()> hook) { m_bodyHook = std::move(hook); }

    // Sets a hook that is called once if the connection closes before the response is given.
    void onClientClosed(std::function<void()> hook) { m_clientClosedHook = std::move(hook); }
    // Sets the response. Only the first call has an effect.
    void respond(Response);

    // A response whose body is given in parts. begin() takes the head with the first part as its body; `length` is that of the
    // whole body. Without it, the body is sent in chunks, or up to the end of the connection to a client of HTTP/1.0.
    void begin(Response, std::optional<std::size_t> length);
    void append(std::string_view part);
    void end();
    // The body can't be completed. Closes the connection, so that the client sees it; `instead` is sent if no byte of the response
    // was sent yet.
    void abort(Response instead);
    // Whether so many bytes wait to be sent that no more should be appended now. Then `hook` of onRoom() is called once when
    // there is room again.
    bool isBacklogged() const;
    void onRoom(std::function<void()> hook) { m_roomHook = std::move(hook); }

private:
    friend class ServerConnection;

    std::size_t heldBytes() const;

    std::weak_ptr<ServerConnection> m_connection;
    Request m_request;
    Common::TimePoint m_received;
    std::size_t m_headBytes = 0; // of the request
    Framing m_bodyFraming = Framing::None;
    std::size_t m_requestBodyLength = 0;
    std::string m_bodyRest; // received behind the start of the body and not taken
    bool m_isBodyWhole = true;
    bool m_isBodyReceived = true;
    std::optional<int> m_bodyFault;
    std::function<void()> m_bodyHook;
    std::function<void()> m_clientClosedHook;
    std::function<void()> m_roomHook;
    std::optional<Response> m_response; // its body holds what is not yet passed to the connection
    std::optional<std::size_t> m_bodyLength; // of a response given in parts
    Framing m_framing = Framing::Length; // in which the body is sent
    bool m_complete = false; // the response has been given whole
    bool m_headQueued = false; // the head has been passed to the connection
    bool m_clientClosed = false;
    bool m_headOnly = false;
};

struct ServerOptions {
    std::string address; // ip:port
    std::function<ServerLimits()> limits = [] { return ServerLimits(); };
    std::function<void(std::shared_ptr<Exchange>)> serve;
    // Builds the response to an invalid request. `status` is 400, 408, 413 or 431.
    std::function<Response(int status)> refuse = [](int status) {
        return Response { .status = status, .reason = {}, .headers = {}, .body = {} };
    };
    // Called with what was got and what was expected when a request is refused since it is malformed.
    std::function<void(const std::string& detail)> malformed = [](const std::string&) {};
    Common::Duration deadPeerTimeout = std::chrono::seconds(4);
    std::function<void(const std::string& error)> acceptFailed = [](const std::string&) {};
    int sendBufferBytes = 0; // of each connection's socket; 0: the kernel's default
    // A request with a longer body is served once this much of it has come, and the rest is passed on while it arrives. 0: never.
    std::size_t heldBodyBytes = 0;
    MemoryBudget* budget = nullptr; // must outlive the server; null: none
};

// Accepts connections and parses requests, with pipelining. Responses are sent in request order on each connection.
class HttpServer {
public:
    HttpServer(EventLoop&, ServerOptions);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Fails with Internal if the address cannot be bound.
    Common::Result<void> open();
    // The bound address, ip:port. Holds the assigned port if port 0 was requested.
    std::string address() const { return m_listener.address().toString(); }
    // From now on each connection is closed after its last pending response.
    void startDraining() { m_draining = true; }
    void stopAccepting();
    // Ends each connection after the requests that are pending now, whose last response says so. A request that has been received in
    // part and has none before it is completed. Can be called again for connections that have become idle since.
    void closeConnections();
    std::size_t connections() const { return m_connections.size(); }
    // Requests, with or without all of their body, whose response has not been queued for sending.
    std::size_t inFlight() const;

private:
    friend class ServerConnection;

    void accept();

    EventLoop& m_loop;
    ServerOptions m_options;
    Poco::Net::ServerSocket m_listener;
    bool m_accepting = false;
    EventLoop::TimerId m_acceptTimer = 0;
    bool m_draining = false;
    std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
};

}
