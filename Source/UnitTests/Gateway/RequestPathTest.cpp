#include "GatewayWorld.h"

#include <doctest/doctest.h>

#include "Backends/ScriptedServer.h"

namespace {

using PlatformStandIn::ServerMode;
using UnitTests::CallerConnection;
using UnitTests::eventually;
using UnitTests::GatewayWorld;
using UnitTests::requestBytes;
using UnitTests::RunningGateway;
namespace Names = PlatformAdapter::Names;

struct Case {
    std::string what;
    std::string bytes;
    int status;
    int arrivals; // at servers
};

const Case cases[] = {
    { "safe", requestBytes("GET", "/safe/x", "r1"), 200, 1 },
    { "once, with a body", requestBytes("POST", "/once/x", "r2", 1000, "hello"), 200, 1 },
    { "no route", requestBytes("GET", "/other/x", "r3"), 404, 0 },
    { "no route: prefix without its slash", requestBytes("GET", "/safe", "r4"), 404, 0 },
    { "chunked", std::string("POST /once/x HTTP/1.1\r\nHost: HOST.example:80\r\n") + Names::requestId + ": r5\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 200, 1 },
    { "malformed", "GET /safe/x\r\nHost: host.example\r\n\r\n", 400, 0 },
    { "two lengths", "POST /once/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, 0 },
    { "head too large", "GET /safe/x HTTP/1.1\r\nHost: host.example\r\nA: " + std::string(17000, 'a') + "\r\n\r\n", 431, 0 },
    { "body too large", "POST /once/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 9000000\r\n\r\n", 413, 0 },
    { "never whole", "POST /once/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 5\r\n\r\nab", 408, 0 },
};

}

TEST_CASE("One request, by its form")
{
    GatewayWorld world(1);
    auto gateway = world.gateway();
    REQUIRE(gateway->waitReady());
    for (const auto& row : cases) {
        CAPTURE(row.what);
        auto before = world.thread.call([&] { return world.servers[0]->arrivals(); });
        auto response = gateway->call(row.bytes);
        CHECK(response.status == row.status);
        CHECK(world.thread.call([&] { return world.servers[0]->arrivals(); }) - before == row.arrivals);
    }
}

TEST_CASE("Pipelined requests are answered in their order, and together")
{
    GatewayWorld world(1);
    world.thread.call([&] { world.servers[0]->setWork(std::chrono::milliseconds(100)); });
    auto gateway = world.gateway();
    REQUIRE(gateway->waitReady());
    CallerConnection caller(gateway->daemon().callersAddress());
    std::string bytes;
    for (int i = 0; i < 3; ++i)
        bytes += requestBytes("GET", "/safe/x", "p" + std::to_string(i));
    auto begun = std::chrono::steady_clock::now();
    caller.send(bytes);
    for (int i = 0; i < 3; ++i)
        CHECK(caller.receive().body == "answer to p" + std::to_string(i));
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(280));
}

struct FaultCase {
    std::string what;
    ServerMode mode; // of the first of two servers
    int mostRuns; // of one request
    std::string target;
    std::vector<int> statuses; // allowed
};

const FaultCase faultCases[] = {
    { "shed: sent to the other", ServerMode::Sheds, 1, "/once/x", { 200 } },
    { "shed, safe", ServerMode::Sheds, 1, "/safe/x", { 200 } },
    { "failed, safe: sent again", ServerMode::Fails, 2, "/safe/x", { 200 } },
    { "failed, once: the failure is told", ServerMode::Fails, 1, "/once/x", { 200, 500 } },
    { "hangs, safe: a second send answers", ServerMode::Hangs, 2, "/safe/x", { 200 } },
    { "hangs, once: given up at the route's timeout", ServerMode::Hangs, 1, "/once/x", { 200, 504 } },
};

TEST_CASE("A faulty server beside a sound one")
{
    for (const auto& row : faultCases) {
        CAPTURE(row.what);
        GatewayWorld world(2);
        auto gateway = world.gateway();
        REQUIRE(gateway->waitReady());
        world.setMode(0, row.mode);
        // As many as the retry budget allows a second send each: 0.75 * (0.2 * 3 + 75 / 20).
        constexpr int requests = 3;
        for (int i = 0; i < requests; ++i) {
            auto id = "f" + std::to_string(i);
            auto response = gateway->call(requestBytes(row.target[1] == 's' ? "GET" : "POST", row.target, id));
            CAPTURE(response.status);
            CHECK(std::find(row.statuses.begin(), row.statuses.end(), response.status) != row.statuses.end());
            CHECK(world.runs.runs(id) <= row.mostRuns);
        }
    }
}

TEST_CASE("What cannot be served is refused at once, as not run, with a time to come back")
{
    GatewayWorld world(1);
    world.setMode(0, ServerMode::Sheds);
    auto gateway = world.gateway();
    REQUIRE(gateway->waitReady());
    auto begun = std::chrono::steady_clock::now();
    auto response = gateway->call(requestBytes("POST", "/once/x", "n1"));
    CHECK(response.status == 503);
    CHECK(Net::findHeader(response.headers, "Retry-After"));
    CHECK(world.runs.runs("n1") == 0);
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(500));
}

struct RawCase {
    std::string what;
    std::string answer; // behind that to the question for load
    std::string target;
    int status;
    bool closes;
};

const std::string health = std::string("HTTP/1.1 200 OK\r\n") + Names::instanceId + ": raw\r\n" + Names::load + ": 0,0,4,100\r\nContent-Length: 0\r\n\r\n";

const RawCase rawCases[] = {
    { "until the end", "HTTP/1.1 200 OK\r\n\r\nwhole", "/safe/x", 200, true },
    { "cut short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole", "/once/x", 502, true },
    { "no HTTP", "hello\r\n\r\n", "/once/x", 502, true },
    { "nothing", "", "/once/x", 502, true },
    { "late answer of another request first", std::string("HTTP/1.1 200 OK\r\n") + Names::requestId + ": other\r\nContent-Length: 5\r\n\r\nwrongHTTP/1.1 200 OK\r\n" + Names::requestId + ": raw1\r\nContent-Length: 5\r\n\r\nwhole", "/once/x", 200, false },
    { "bytes behind the answer", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", "/safe/x", 200, false },
};

// The registry's row of a server "raw" at an address.
std::string registeredAt(GatewayWorld& world, const std::string& address)
{
    auto value = PlatformStandIn::Server(world.thread.loop(), world.runs, { .id = "raw" }).registryValue();
    auto at = value.find("127.0.0.1:");
    value.replace(at, value.find('"', at) - at, address);
    return value;
}

TEST_CASE("Answers that are no proper ones")
{
    for (const auto& row : rawCases) {
        CAPTURE(row.what);
        using namespace UnitTests;
        Script script { ReadRequest {}, SendBytes { health }, ReadRequest {}, SendBytes { row.answer } };
        if (row.closes)
            script.push_back(CloseConnection {});
        else
            script.push_back(WaitForClient {});
        ScriptedServer server({ script });
        GatewayWorld world(0);
        world.thread.call([&] { world.store->put(Names::registryTable, "raw", registeredAt(world, server.address())); });
        auto gateway = world.gateway();
        REQUIRE(gateway->waitReady());
        CallerConnection caller(gateway->daemon().callersAddress());
        caller.send(requestBytes("GET", row.target, "raw1"));
        auto response = caller.receive();
        CHECK(response.status == row.status);
        if (row.status == 200)
            CHECK(response.body == "whole");
        CHECK(!caller.hasLeftover());
    }
}

TEST_CASE("A request that must not run twice is not sent again after its connection has ended")
{
    for (bool resets : { false, true }) {
        CAPTURE(resets);
        using namespace UnitTests;
        Script script { ReadRequest {}, SendBytes { health }, ReadRequest {} };
        if (resets)
            script.push_back(ResetConnection {});
        else
            script.push_back(CloseConnection {});
        ScriptedServer server({ script });
        GatewayWorld world(1);
        world.thread.call([&] { world.store->put(Names::registryTable, "raw", registeredAt(world, server.address())); });
        auto gateway = world.gateway();
        REQUIRE(gateway->waitReady());
        int lost = 0;
        for (int i = 0; i < 12; ++i) {
            auto id = "twice-" + std::to_string(i);
            auto response = gateway->call(requestBytes("POST", "/once/x", id, 1000, "body"));
            auto reachedRaw = server.head().find(id) != std::string::npos;
            lost += reachedRaw ? 1 : 0;
            CHECK(response.status == (reachedRaw ? 502 : 200));
            CHECK(world.runs.runs(id) == (reachedRaw ? 0 : 1));
        }
        CHECK(lost > 0);
    }
}

TEST_CASE("Work of a caller that has left is cancelled")
{
    GatewayWorld world(1);
    world.setMode(0, ServerMode::Hangs);
    auto gateway = world.gateway();
    REQUIRE(gateway->waitReady());
    {
        CallerConnection caller(gateway->daemon().callersAddress());
        caller.send(requestBytes("GET", "/safe/x", "g1"));
        REQUIRE(eventually([&] { return world.runs.runs("g1") == 1; }));
        caller.close();
    }
    // The freed slots show that the server's connections were closed.
    auto requests = [&] { return RunningGateway::get(gateway->daemon().metricsAddress(), "/metrics").body; };
    CHECK(eventually([&] { return requests().find("cowslipledge_abandoned_total 1") != std::string::npos; }));
}

TEST_CASE("A server whose address another one has taken is not used")
{
    GatewayWorld world(1);
    world.thread.call([&] {
        auto value = world.servers[0]->registryValue();
        world.store->put(Names::registryTable, "gone-server", value);
    });
    auto gateway = world.gateway();
    REQUIRE(gateway->waitReady());
    for (int i = 0; i < 6; ++i)
        CHECK(gateway->call(requestBytes("POST", "/once/x", "m" + std::to_string(i))).status == 200);
}

TEST_CASE("A draining server gets no new work")
{
    GatewayWorld world(2);
    auto gateway = world.gateway();
    REQUIRE(gateway->waitReady());
    world.thread.call([&] { world.store->put(Names::registryTable, "server-1", world.servers[0]->registryValue(true)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(2000)); // the operators' bound
    auto before = world.thread.call([&] { return world.servers[0]->arrivals(); });
    for (int i = 0; i < 10; ++i)
        CHECK(gateway->call(requestBytes("GET", "/safe/x", "d" + std::to_string(i))).status == 200);
    CHECK(world.thread.call([&] { return world.servers[0]->arrivals(); }) == before);
}

TEST_CASE("Shutdown cuts nothing: what is under way is answered, the directory no longer names the entry")
{
    GatewayWorld world(1);
    world.thread.call([&] { world.servers[0]->setWork(std::chrono::milliseconds(700)); });
    auto gateway = world.gateway();
    REQUIRE(gateway->waitReady());
    CallerConnection caller(gateway->daemon().callersAddress());
    caller.send(requestBytes("POST", "/once/x", "s1"));
    REQUIRE(eventually([&] { return world.runs.runs("s1") == 1; }));
    gateway->daemon().shutDown();
    CHECK(eventually([&] { return RunningGateway::get(gateway->daemon().readyAddress(), Names::readyPath).status == 503; }));
    CHECK(RunningGateway::get(gateway->daemon().directoryAddress(), std::string(Names::directoryPath) + "?zone=a").status == 503);
    // A caller with an old answer is served yet.
    CallerConnection late(gateway->daemon().callersAddress());
    late.send(requestBytes("GET", "/safe/x", "s2"));
    CHECK(caller.receive().status == 200);
    CHECK(caller.closes());
    CHECK(late.receive().status == 200);
    CHECK(gateway->join());
}
