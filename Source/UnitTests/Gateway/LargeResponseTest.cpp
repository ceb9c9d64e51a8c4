#include "GatewayFixture.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

#include "Backends/ScriptedServer.h"
#include "Fakes/SlowCaller.h"

namespace {

using namespace UnitTests;

// No byte repeats at a short distance, so that a lost or doubled piece shows.
std::string bodyOf(std::size_t bytes)
{
    std::string body;
    for (std::size_t i = 0; body.size() < bytes; ++i)
        body += fmt::format("{:x}.", i);
    body.resize(bytes);
    return body;
}

std::string chunked(const std::string& body, std::size_t chunkBytes)
{
    std::string bytes;
    for (std::size_t at = 0; at < body.size(); at += chunkBytes) {
        auto chunk = body.substr(at, chunkBytes);
        bytes += fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
    }
    return bytes + "0\r\n\r\n";
}

std::string answer(Net::Framing framing, const std::string& body)
{
    auto head = std::string("HTTP/1.1 200 OK\r\n") + Names::requestId + ": big\r\n";
    if (framing == Net::Framing::Length)
        return head + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body;
    if (framing == Net::Framing::Chunked)
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 10'000);
    return head + "\r\n" + body;
}

const std::string health = std::string("HTTP/1.1 200 OK\r\n") + Names::instanceId + ": raw\r\n" + Names::load + ": 0,0,4,100\r\nContent-Length: 0\r\n\r\n";

// A gateway whose only server follows `steps` after it has answered a load probe and read a request.
class ScriptedFleet {
public:
    explicit ScriptedFleet(const Script& steps)
        : server({ script(steps) })
        , fixture(0)
    {
        fixture.thread.call([&] {
            auto value = PlatformStandIn::Server(fixture.thread.loop(), fixture.runs, { .id = "raw" }).registryValue();
            auto at = value.find("127.0.0.1:");
            value.replace(at, value.find('"', at) - at, server.address());
            fixture.store->put(Names::registryTable, "raw", value);
        });
        gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
    }

    static Script script(const Script& steps)
    {
        Script whole { ReadRequest {}, SendBytes { health }, ReadRequest {} };
        whole.insert(whole.end(), steps.begin(), steps.end());
        return whole;
    }

    ScriptedServer server;
    GatewayFixture fixture;
    std::unique_ptr<RunningGateway> gateway;
};

struct SizeCase {
    std::size_t bytes;
    Net::Framing framing;
    Reading reading;
};

const Reading fast {};
const Reading slow { .receiveBuffer = 4096, .bytesPerRead = 8192, .pause = std::chrono::milliseconds(4) };

const SizeCase sizeCases[] = {
    { 1, Net::Framing::Length, fast },
    { 1, Net::Framing::Chunked, fast },
    { 1, Net::Framing::UntilClose, fast },
    { 16 * 1024, Net::Framing::Length, slow },
    { 64 * 1024, Net::Framing::Length, fast },
    { 64 * 1024 + 1, Net::Framing::Chunked, fast },
    { 540'000, Net::Framing::Length, slow },
    { 540'000, Net::Framing::Chunked, slow },
    { 540'000, Net::Framing::UntilClose, slow },
    { 4 * 1024 * 1024, Net::Framing::Length, fast },
    { 4 * 1024 * 1024, Net::Framing::Chunked, fast },
    { 4 * 1024 * 1024, Net::Framing::UntilClose, fast },
};

}

TEST_CASE("Responses of any size and framing arrive whole, also at callers that read slowly")
{
    for (const auto& row : sizeCases) {
        CAPTURE(row.bytes);
        CAPTURE(static_cast<int>(row.framing));
        CAPTURE(row.reading.bytesPerRead);
        auto body = bodyOf(row.bytes);
        Script steps { SendBytes { answer(row.framing, body) } };
        if (row.framing == Net::Framing::UntilClose)
            steps.emplace_back(CloseConnection {});
        else
            steps.emplace_back(WaitForClient {});
        ScriptedFleet fleet(steps);
        SlowCaller caller(fleet.gateway->daemon().callersAddress(), row.reading);
        caller.send(requestBytes("GET", "/safe/x", "big"));
        auto received = caller.receive();
        CHECK(received.status == 200);
        CHECK(received.isComplete);
        CHECK(received.body.size() == body.size());
        CHECK((received.body == body));
    }
}

TEST_CASE("Request bodies up to the operators' limit reach the server whole")
{
    for (std::size_t bytes : { std::size_t(1), std::size_t(64 * 1024), std::size_t(1024 * 1024) }) {
        CAPTURE(bytes);
        GatewayFixture fixture(1);
        auto gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
        auto body = bodyOf(bytes);
        CHECK(gateway->call(requestBytes("POST", "/once/x", "post", 1000, body)).status == 200);
        CHECK(fixture.runs.runs("post") == 1);
        CHECK(fixture.thread.call([&] { return fixture.servers[0]->lastBody() == body; }));
    }
}
