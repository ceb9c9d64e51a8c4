#include "Net/HttpClient.h"

#include <optional>

#include <doctest/doctest.h>

#include "Gateway/GatewayFixture.h"
#include "Net/HttpServer.h"
#include "platform/StandIn/LoopThread.h"

using UnitTests::eventually;

TEST_CASE("A connection whose reading was paused at the end of a response reads the next one")
{
    constexpr std::size_t bodyBytes = 200'000;
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    PlatformStandIn::LoopThread thread;
    std::unique_ptr<Net::HttpServer> server;
    std::shared_ptr<Net::ClientConnection> connection;
    std::size_t received = 0;
    auto isFree = false;
    std::optional<int> second;
    thread.call([&] {
        server = std::make_unique<Net::HttpServer>(thread.loop(), Net::ServerOptions { .address = "127.0.0.1:0", .serve = [&](const std::shared_ptr<Net::Exchange>& exchange) { exchange->respond({ .status = 200, .reason = {}, .headers = {}, .body = std::string(bodyBytes, 'x') }); } });
        REQUIRE(server->open());
        connection = Net::ClientConnection::open(thread.loop(), server->address(), {});
        connection->send(request, true, std::chrono::seconds(5),
            { .answered = [](Net::ResponseHead&&) {},
                .failed = [](const Net::ClientFailure&) {},
                .started = [&](Net::ResponseHead&& head) { received += head.response.body.size(); },
                .continued = [&](std::string&& part) {
                    received += part.size();
                    // As for a caller that takes the last part slowly.
                    connection->setReading(received < bodyBytes); },
                .completed = [&] { isFree = connection->isFree(); } });
    });
    REQUIRE(eventually([&] { return thread.call([&] { return isFree; }); }));
    thread.call([&] {
        connection->send(request, true, std::chrono::seconds(2),
            { .answered = [&](Net::ResponseHead&& head) { second = head.response.status; }, .failed = [&](const Net::ClientFailure&) { second = 0; } });
    });
    CHECK(eventually([&] { return thread.call([&] { return second.has_value(); }); }));
    thread.call([&] {
        CHECK(second == 200);
        connection.reset();
        server.reset();
    });
}
