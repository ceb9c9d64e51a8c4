#include <doctest/doctest.h>

#include "Gateway/GatewayFixture.h"
#include "Net/HttpServer.h"
#include "platform/StandIn/LoopThread.h"

namespace {

using UnitTests::CallerConnection;
using UnitTests::eventually;

// A server that responds when the test says so.
class HeldServer {
public:
    HeldServer()
        : m_server(std::make_unique<Net::HttpServer>(m_thread.loop(),
            Net::ServerOptions { .address = "127.0.0.1:0", .serve = [this](std::shared_ptr<Net::Exchange> exchange) { m_exchanges.push_back(std::move(exchange)); } }))
    {
        m_thread.call([&] { REQUIRE(m_server->open()); });
    }
    ~HeldServer()
    {
        m_thread.call([&] { m_server.reset(); });
    }
    HeldServer(const HeldServer&) = delete;
    HeldServer& operator=(const HeldServer&) = delete;

    std::string address() const { return m_server->address(); }
    bool waitForRequests(std::size_t n)
    {
        return eventually([&] { return requests() == n; });
    }
    std::size_t requests()
    {
        return m_thread.call([&] { return m_exchanges.size(); });
    }
    bool waitForConnections(std::size_t n)
    {
        return eventually([&] { return m_thread.call([&] { return m_server->connections(); }) == n; });
    }
    // What a planned stop does, up to the end of the time in which new connections are accepted.
    void startClosing()
    {
        m_thread.call([&] {
            m_server->startDraining();
            m_server->stopAccepting();
            m_server->closeConnections();
        });
    }
    void respond(std::size_t first, std::size_t count)
    {
        m_thread.call([&] {
            for (auto i = first; i < first + count; ++i)
                m_exchanges[i]->respond({ .status = 200, .reason = {}, .headers = {}, .body = std::to_string(i) });
        });
    }

private:
    PlatformStandIn::LoopThread m_thread;
    std::vector<std::shared_ptr<Net::Exchange>> m_exchanges;
    std::unique_ptr<Net::HttpServer> m_server;
};

const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

std::string requests(std::size_t n)
{
    std::string bytes;
    for (std::size_t i = 0; i < n; ++i)
        bytes += request;
    return bytes;
}

// Longer than a packet and its reset take on the loopback interface.
constexpr auto roundTrip = std::chrono::milliseconds(50);

struct PipelineCase {
    std::string what;
    std::size_t sent; // before the stop
    std::size_t behind; // sent while those are pending
    std::size_t served;
};

const PipelineCase pipelineCases[] = {
    { "one request", 1, 0, 1 },
    { "always another request pending", 8, 8, 8 },
    { "more requests than are read ahead", 100, 100, 64 },
};

}

// Guards against connections that are read until the process ends, and then cut, as they always have another request pending.
TEST_CASE("In a planned stop a connection ends after the requests that were pending, the last response says so")
{
    for (const auto& row : pipelineCases) {
        CAPTURE(row.what);
        HeldServer server;
        CallerConnection caller(server.address());
        caller.send(requests(row.sent));
        REQUIRE(server.waitForRequests(row.served));
        server.startClosing();
        for (std::size_t i = 0; i < row.behind; ++i)
            caller.send(request);
        std::this_thread::sleep_for(roundTrip);
        CHECK(server.requests() == row.served);
        for (std::size_t i = 0; i < row.served; ++i) {
            server.respond(i, 1);
            auto response = caller.receive();
            CHECK(response.body == std::to_string(i));
            CHECK(caller.closes() == (i == row.served - 1));
        }
        // The caller writes on, not having read the last response yet: the connection must not be reset.
        caller.send(request);
        std::this_thread::sleep_for(roundTrip);
        CHECK_NOTHROW(caller.send(request));
        CHECK(server.requests() == row.served);
        caller.close();
        CHECK(server.waitForConnections(0));
    }
}

// Guards against a reset that makes a caller give up responses it has not read yet.
TEST_CASE("In a planned stop an idle connection is half-closed, and what the caller still sends is discarded")
{
    HeldServer server;
    CallerConnection caller(server.address());
    caller.send(request);
    REQUIRE(server.waitForRequests(1));
    server.respond(0, 1);
    REQUIRE(caller.receive().status == 200);
    server.startClosing();
    caller.send(request);
    std::this_thread::sleep_for(roundTrip);
    CHECK_NOTHROW(caller.send(request));
    CHECK(caller.receive().status == 0);
    CHECK(server.requests() == 1);
    caller.close();
    CHECK(server.waitForConnections(0));
}

TEST_CASE("In a planned stop a request that has been received in part is completed")
{
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n";
    for (const auto& part : { head.substr(0, 9), head, head + "bo" }) {
        CAPTURE(part);
        HeldServer server;
        CallerConnection caller(server.address());
        caller.send(part);
        REQUIRE(server.waitForConnections(1));
        std::this_thread::sleep_for(roundTrip);
        server.startClosing();
        std::this_thread::sleep_for(roundTrip);
        caller.send((head + "body").substr(part.size()));
        REQUIRE(server.waitForRequests(1));
        server.respond(0, 1);
        CHECK(caller.receive().status == 200);
        CHECK(caller.closes());
    }
}

TEST_CASE("A caller that goes on sending after the last response is not reset while it does")
{
    HeldServer server;
    CallerConnection caller(server.address());
    caller.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    REQUIRE(server.waitForRequests(1));
    server.respond(0, 1);
    constexpr int sends = 20;
    constexpr auto pause = std::chrono::milliseconds(100);
    for (int i = 0; i < sends; ++i) {
        CHECK_NOTHROW(caller.send(request));
        std::this_thread::sleep_for(pause);
    }
    CHECK(caller.receive().status == 200);
    caller.close();
    CHECK(server.waitForConnections(0));
}
