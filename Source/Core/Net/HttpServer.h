#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "Common/Result.h"
#include "Net/BodyDecoder.h"
#include "Net/EventLoop.h"
#include "Net/HttpMessage.h"

namespace Net {

class ServerConnection;

// Bounds on what a client may make a server hold.
struct ServerLimits {
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    Common::Duration readTimeout = std::chrono::seconds(5); // from a request's first byte to its last
    Common::Duration idleTimeout = std::chrono::seconds(60); // a kept connection without a request
};

// One request and the place of its answer among those of its connection.
class Exchange {
public:
    Exchange(std::weak_ptr<ServerConnection>, Request, Common::TimePoint received);

    const Request& request() const { return m_request; }
    Request& request() { return m_request; }
    Common::TimePoint received() const { return m_received; }
    // The client has closed: the answer would reach nobody.
    bool isGone() const { return m_gone; }
    // Called once when the client closes before the answer.
    void onGone(std::function<void()> hook) { m_goneHook = std::move(hook); }
    // Gives the answer; the first one counts.
    void respond(Response);

private:
    friend class ServerConnection;

    std::weak_ptr<ServerConnection> m_connection;
    Request m_request;
    Common::TimePoint m_received;
    std::function<void()> m_goneHook;
    std::optional<Response> m_response;
    bool m_gone = false;
    bool m_headOnly = false;
};

struct ServerOptions {
    std::string address; // ip:port
    std::function<ServerLimits()> limits = [] { return ServerLimits(); };
    std::function<void(std::shared_ptr<Exchange>)> serve;
    // The answer to what is no proper request: 400, 408, 413 or 431.
    std::function<Response(int status)> refuse = [](int status) { return Response { .status = status, .reason = {}, .headers = {}, .body = {} }; };
    Common::Duration silenceLimit = std::chrono::seconds(4);
};

// Accepts connections and reads requests; answers leave in the order of the requests of a connection.
class HttpServer {
public:
    HttpServer(EventLoop&, ServerOptions);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Error: Internal where the address cannot be bound.
    Common::Result<void> open();
    // The bound address, ip:port; differs from the one asked for where that has port 0.
    std::string address() const { return m_listener.address().toString(); }
    // From now on each answer ends its connection, unless later requests of it are under way.
    void startDraining() { m_draining = true; }
    void stopAccepting();
    // Closes connections that have no request under way.
    void closeIdle();
    std::size_t connections() const { return m_connections.size(); }
    // Requests read and not answered yet.
    std::size_t inFlight() const;

private:
    friend class ServerConnection;

    void accept();

    EventLoop& m_loop;
    ServerOptions m_options;
    Poco::Net::ServerSocket m_listener;
    bool m_accepting = false;
    bool m_draining = false;
    std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
};

}
