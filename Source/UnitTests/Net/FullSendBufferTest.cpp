#include <future>

#include <doctest/doctest.h>

#include "Fakes/SlowCaller.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "platform/StandIn/LoopThread.h"

// A message that exceeds the socket's send buffer is written in several steps. Poco throws when a non-blocking socket would
// block, which was taken for the end of the connection.

namespace {

using namespace UnitTests;

constexpr int smallSendBuffer = 4096;
constexpr std::size_t maxBodyBytes = 8 * 1024 * 1024;

std::string bodyOf(std::size_t bytes)
{
    std::string body;
    for (std::size_t i = 0; body.size() < bytes; ++i)
        body += std::to_string(i) + ".";
    body.resize(bytes);
    return body;
}

// Answers each request with `answer`, and keeps the body of the last one.
struct EchoServer {
    explicit EchoServer(std::string body)
        : answer(std::move(body))
        , server(std::make_unique<Net::HttpServer>(thread.loop(), options()))
    {
        thread.call([&] { REQUIRE(server->open()); });
    }
    ~EchoServer()
    {
        thread.call([&] { server.reset(); });
    }
    EchoServer(const EchoServer&) = delete;
    EchoServer& operator=(const EchoServer&) = delete;

    Net::ServerOptions options()
    {
        return {
            .address = "127.0.0.1:0",
            .limits = [] { return Net::ServerLimits { .bodyBytes = maxBodyBytes }; },
            .serve = [this](const std::shared_ptr<Net::Exchange>& exchange) {
                lastBody = exchange->request().body;
                exchange->respond({ .status = 200, .reason = {}, .headers = {}, .body = answer }); },
            .sendBufferBytes = smallSendBuffer,
        };
    }

    PlatformStandIn::LoopThread thread;
    std::string answer;
    std::string lastBody;
    std::unique_ptr<Net::HttpServer> server;
};

struct ResponseCase {
    std::size_t bytes;
    Reading reading;
};

const ResponseCase responseCases[] = {
    { 1, {} },
    { 64 * 1024, {} },
    { 64 * 1024, { .receiveBuffer = 4096, .bytesPerRead = 4096, .pause = std::chrono::milliseconds(3) } },
    { 4 * 1024 * 1024, {} },
    { 400'000, { .receiveBuffer = 4096, .bytesPerRead = 8192, .pause = std::chrono::milliseconds(2) } },
};

}

TEST_CASE("Responses larger than the send buffer arrive whole")
{
    for (const auto& row : responseCases) {
        CAPTURE(row.bytes);
        CAPTURE(row.reading.bytesPerRead);
        EchoServer echo(bodyOf(row.bytes));
        SlowCaller caller(echo.server->address(), row.reading);
        caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        auto received = caller.receive();
        CHECK(received.isComplete);
        CHECK((received.body == echo.answer));
    }
}

TEST_CASE("Requests larger than the send buffer arrive whole")
{
    for (std::size_t bytes : { std::size_t(1), std::size_t(64 * 1024), std::size_t(4 * 1024 * 1024) }) {
        CAPTURE(bytes);
        EchoServer echo("done");
        PlatformStandIn::LoopThread clientThread;
        auto body = bodyOf(bytes);
        std::promise<int> status;
        std::shared_ptr<Net::ClientConnection> connection;
        clientThread.call([&] {
            connection = Net::ClientConnection::open(clientThread.loop(), echo.server->address(), { .sendBufferBytes = smallSendBuffer });
            Net::Request request { .method = "POST", .target = "/", .headers = { { "Host", "x" } }, .body = body };
            connection->send(Net::toBytes(request), true, std::chrono::seconds(10),
                { .answered = [&](Net::ResponseHead&& head) { status.set_value(head.response.status); },
                    .failed = [&](const Net::ClientFailure&) { status.set_value(0); } });
        });
        CHECK(status.get_future().get() == 200);
        clientThread.call([&] { connection.reset(); });
        CHECK(echo.thread.call([&] { return echo.lastBody == body; }));
    }
}
