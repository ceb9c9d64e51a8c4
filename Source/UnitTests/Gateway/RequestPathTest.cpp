#include "ScriptedFleet.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace {

using PlatformStandIn::ServerMode;
using UnitTests::CallerConnection;
using UnitTests::eventually;
using UnitTests::GatewayFixture;
using UnitTests::requestBytes;
using UnitTests::RunningGateway;
namespace Names = PlatformAdapter::Names;

std::string manyFields(int n)
{
    std::string fields;
    for (int i = 0; i < n; ++i)
        fields += "f" + std::to_string(i) + ": 1\r\n";
    return fields;
}

struct Case {
    std::string what;
    std::string bytes;
    int status;
    int arrivals; // requests that reached the server
};

const Case cases[] = {
    { "safe to repeat", requestBytes("GET", "/safe/x", "r1"), 200, 1 },
    { "not safe to repeat, with a body", requestBytes("POST", "/once/x", "r2", 1000, "hello"), 200, 1 },
    { "no route", requestBytes("GET", "/other/x", "r3"), 404, 0 },
    { "no route: prefix without its trailing slash", requestBytes("GET", "/safe", "r4"), 404, 0 },
    { "chunked body", std::string("POST /once/x HTTP/1.1\r\nHost: HOST.example:80\r\n") + Names::requestId + ": r5\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 200, 1 },
    { "malformed request line", "GET /safe/x\r\nHost: host.example\r\n\r\n", 400, 0 },
    { "two Content-Length headers", "POST /once/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, 0 },
    { "head too large", "GET /safe/x HTTP/1.1\r\nHost: host.example\r\nA: " + std::string(17000, 'a') + "\r\n\r\n", 431, 0 },
    { "head of one field, within the limit", "GET /safe/x HTTP/1.1\r\nHost: host.example\r\nA: " + std::string(15000, 'a') + "\r\n\r\n", 200, 1 },
    { "head of many fields, within the limit", "GET /safe/x HTTP/1.1\r\nHost: host.example\r\n" + manyFields(1000) + "\r\n", 200, 1 },
    { "body too large", "POST /once/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 9000000\r\n\r\n", 413, 0 },
    { "incomplete body", "POST /once/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 5\r\n\r\nab", 408, 0 },
};

}

TEST_CASE("Well-formed requests are forwarded; malformed, oversized and unroutable ones are not")
{
    GatewayFixture fixture(1);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    for (const auto& row : cases) {
        CAPTURE(row.what);
        auto before = fixture.thread.call([&] { return fixture.servers[0]->arrivals(); });
        auto response = gateway->call(row.bytes);
        CHECK(response.status == row.status);
        CHECK(fixture.thread.call([&] { return fixture.servers[0]->arrivals(); }) - before == row.arrivals);
    }
}

TEST_CASE("Pipelined requests are answered in order and processed in parallel")
{
    GatewayFixture fixture(1);
    fixture.thread.call([&] { fixture.servers[0]->setWork(std::chrono::milliseconds(100)); });
    auto gateway = fixture.gateway();
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
    ServerMode mode; // of the first of two servers; the second one serves normally
    int maxRuns; // of one request, over both servers
    std::string target;
    std::vector<int> allowedStatuses;
};

const FaultCase faultCases[] = {
    { "rejects, not safe to repeat: sent to the other server", ServerMode::Sheds, 1, "/once/x", { 200 } },
    { "rejects, safe to repeat: sent to the other server", ServerMode::Sheds, 1, "/safe/x", { 200 } },
    { "fails, safe to repeat: retried", ServerMode::Fails, 2, "/safe/x", { 200 } },
    { "fails, not safe to repeat: error passed on", ServerMode::Fails, 1, "/once/x", { 200, 500 } },
    { "hangs, safe to repeat: a hedged attempt is answered", ServerMode::Hangs, 2, "/safe/x", { 200 } },
    { "hangs, not safe to repeat: 504 at the deadline", ServerMode::Hangs, 1, "/once/x", { 200, 504 } },
};

TEST_CASE("With one faulty server of two, requests succeed where they may be repeated, and run no more often than allowed")
{
    for (const auto& row : faultCases) {
        CAPTURE(row.what);
        GatewayFixture fixture(2);
        auto gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
        fixture.setMode(0, row.mode);
        // Few enough for the retry budget to allow a second attempt for each, since margin * (ratio * requests + slack / gateways)
        // is 0.75 * (0.2 * 3 + 75 / 20) = 3.26.
        constexpr int requests = 3;
        for (int i = 0; i < requests; ++i) {
            auto id = "f" + std::to_string(i);
            auto response = gateway->call(requestBytes(row.target[1] == 's' ? "GET" : "POST", row.target, id));
            CAPTURE(response.status);
            CHECK(std::find(row.allowedStatuses.begin(), row.allowedStatuses.end(), response.status) != row.allowedStatuses.end());
            CHECK(fixture.runs.runs(id) <= row.maxRuns);
        }
    }
}

TEST_CASE("A request that no server accepts is refused with 503 and Retry-After at once, without having run")
{
    GatewayFixture fixture(1);
    fixture.setMode(0, ServerMode::Sheds);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    auto begun = std::chrono::steady_clock::now();
    auto response = gateway->call(requestBytes("POST", "/once/x", "n1"));
    CHECK(response.status == 503);
    CHECK(Net::findHeader(response.headers, "Retry-After"));
    CHECK(fixture.runs.runs("n1") == 0);
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(500));
}

struct RawCase {
    std::string what;
    std::string answer; // to the request, after the response to the load probe
    std::string target;
    int status;
    bool closes; // the connection after the answer
};

const std::string health = UnitTests::healthAnswer();

// Of a load probe; servers give a request's id in its own rejection.
const std::string rejectedProbe = std::string("HTTP/1.1 503 Busy\r\n") + Names::notExecuted + ": 1\r\n" + Names::instanceId + ": raw\r\nContent-Length: 0\r\n\r\n";
const std::string rejectionWithoutIds = std::string("HTTP/1.1 503 Busy\r\n") + Names::notExecuted + ": 1\r\nContent-Length: 0\r\n\r\n";
const std::string rejectionOfOther = std::string("HTTP/1.1 503 Busy\r\n") + Names::notExecuted + ": 1\r\n" + Names::requestId + ": other\r\nContent-Length: 0\r\n\r\n";
const std::string ownId = std::string(Names::requestId) + ": raw1\r\n";
const std::string ownAnswer = "HTTP/1.1 200 OK\r\n" + ownId + "Content-Length: 5\r\n\r\nwhole";

std::string foreignAnswer(int status, std::size_t bytes = 7)
{
    return fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}", status, bytes, std::string(bytes, 'f'));
}

const RawCase rawCases[] = {
    { "body delimited by the end of the connection", "HTTP/1.1 200 OK\r\n" + ownId + "\r\nwhole", "/safe/x", 200, true },
    { "body shorter than Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole", "/once/x", 502, true },
    { "not HTTP", "hello\r\n\r\n", "/once/x", 502, true },
    { "empty answer", "", "/once/x", 502, true },
    { "a late answer to another request comes first", std::string("HTTP/1.1 200 OK\r\n") + Names::requestId + ": other\r\nContent-Length: 5\r\n\r\nwrongHTTP/1.1 200 OK\r\n" + Names::requestId + ": raw1\r\nContent-Length: 5\r\n\r\nwhole", "/once/x", 200, false },
    { "a late copy of the load probe's answer comes first", health + "HTTP/1.1 200 OK\r\n" + Names::requestId + ": raw1\r\nContent-Length: 5\r\n\r\nwhole", "/once/x", 200, false },
    { "a late copy of a rejected load probe's answer comes first", rejectedProbe + ownAnswer, "/once/x", 200, false },
    { "a late copy of a rejection without ids comes first", rejectionWithoutIds + ownAnswer, "/once/x", 200, false },
    { "late copies of rejections come first", rejectionOfOther + rejectedProbe + ownAnswer, "/once/x", 200, false },
    { "status line cut off", "HTTP/1.1 20", "/once/x", 502, true },
    { "head cut off after the status line", "HTTP/1.1 200 OK\r\n", "/once/x", 502, true },
    { "head cut off in a name", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Na", "/once/x", 502, true },
    { "head cut off in the length", "HTTP/1.1 200 OK\r\nContent-Length: 1", "/once/x", 502, true },
    { "head cut off before the blank line", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", "/once/x", 502, true },
    { "head cut off after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", "/once/x", 502, true },
    { "HTTP/1.0, body shorter than Content-Length", "HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\nwhole", "/once/x", 502, true },
    { "chunk cut off", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho", "/once/x", 502, true },
    { "last chunk missing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", "/once/x", 502, true },
    { "status 000", "HTTP/1.1 000 Zero\r\nContent-Length: 5\r\n\r\nwhole", "/once/x", 502, false },
    { "status 600", "HTTP/1.1 600 Odd\r\nContent-Length: 5\r\n\r\nwhole", "/once/x", 502, false },
    { "switch to another protocol", "HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "/once/x", 502, false },
    { "blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 5\r\n\r\nwhole", "/once/x", 502, false },
    { "control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 5\r\n\r\nwhole", "/once/x", 502, false },
    { "name that is no token", "HTTP/1.1 200 OK\r\nX(Odd): 1\r\nContent-Length: 5\r\n\r\nwhole", "/once/x", 502, false },
    { "length beside chunks", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "/once/x", 502, false },
    { "extra bytes after the answer", ownAnswer + foreignAnswer(200), "/safe/x", 200, false },
    // Such bytes belong to no request: servers repeat the id in each response.
    { "an answer without an id comes first", foreignAnswer(200) + ownAnswer, "/once/x", 200, false },
    { "an answer without an id comes first, safe to repeat", foreignAnswer(200) + ownAnswer, "/safe/x", 200, false },
    { "a failure without an id comes first", foreignAnswer(500) + ownAnswer, "/once/x", 200, false },
    { "a status 404 without an id comes first", foreignAnswer(404) + ownAnswer, "/once/x", 200, false },
    { "a status 503 without an id comes first", foreignAnswer(503) + ownAnswer, "/once/x", 200, false },
    { "a status 421 without an id comes first", foreignAnswer(421) + ownAnswer, "/once/x", 200, false },
    { "several answers without an id come first", foreignAnswer(200) + foreignAnswer(200) + ownAnswer, "/once/x", 200, false },
    { "a long answer without an id comes first", foreignAnswer(200, 100'000) + ownAnswer, "/once/x", 200, false },
    { "nothing but an answer without an id", foreignAnswer(200), "/once/x", 502, true },
    { "nothing but an answer without an id, which closes", "HTTP/1.1 400 Bad\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "/once/x", 502, true },
};

UnitTests::Script rawScript(const RawCase& row, std::chrono::milliseconds probeDelay)
{
    using namespace UnitTests;
    if (row.closes)
        return { ReadRequest {}, Delay { probeDelay }, SendBytes { health }, ReadRequest {}, SendBytes { row.answer }, CloseConnection {} };
    return { ReadRequest {}, Delay { probeDelay }, SendBytes { health }, ReadRequest {}, SendBytes { row.answer }, WaitForClient {} };
}

// A server that answers load probes late must not change the outcome, so the gateway's clock is slow: with the system's, its limit for
// the first answer to a load probe, 60 ms, expired on a busy machine, and the request was refused.
TEST_CASE("Unusual and malformed server responses")
{
    constexpr auto probeDelay = std::chrono::milliseconds(120);
    constexpr int clockFactor = 10;
    for (const auto& row : rawCases) {
        CAPTURE(row.what);
        using namespace UnitTests;
        ScriptedServer server({ rawScript(row, probeDelay) });
        GatewayFixture fixture(0);
        fixture.thread.call([&] { fixture.store->put(Names::registryTable, "raw", registeredAt(fixture, server.address())); });
        auto gateway = fixture.gateway(UnitTests::slowClock(clockFactor));
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

struct LateProbeCase {
    std::string what;
    std::chrono::milliseconds delay; // of the answer to each load probe
    int status;
};

const LateProbeCase lateProbeCases[] = {
    { "at once", std::chrono::milliseconds(0), 200 },
    { "late, well before the deadline", std::chrono::milliseconds(120), 200 },
    { "later than a load probe may take", std::chrono::milliseconds(600), 503 },
};

// Guards against requests that are refused with time left, since the only server stalled for longer than load probes usually take.
TEST_CASE("A request waits for a late answer to its load probe when no server has answered, and not until its deadline")
{
    for (const auto& row : lateProbeCases) {
        CAPTURE(row.what);
        using namespace UnitTests;
        ScriptedServer server({ { ReadRequest {}, Delay { row.delay }, SendBytes { health }, ReadRequest {}, SendBytes { std::string("HTTP/1.1 200 OK\r\n") + Names::requestId + ": late\r\nContent-Length: 5\r\n\r\nwhole" } } });
        GatewayFixture fixture(0);
        fixture.thread.call([&] { fixture.store->put(Names::registryTable, "raw", registeredAt(fixture, server.address())); });
        auto gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
        auto begun = std::chrono::steady_clock::now();
        CHECK(gateway->call(requestBytes("POST", "/once/x", "late")).status == row.status);
        CHECK(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(500));
    }
}

TEST_CASE("A request that is not safe to repeat is not retried after its connection has ended")
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
        GatewayFixture fixture(1);
        fixture.thread.call([&] { fixture.store->put(Names::registryTable, "raw", registeredAt(fixture, server.address())); });
        auto gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
        int lost = 0; // requests that reached the server that ends its connections
        for (int i = 0; i < 12; ++i) {
            auto id = "twice-" + std::to_string(i);
            auto response = gateway->call(requestBytes("POST", "/once/x", id, 1000, "body"));
            auto reachedRaw = server.hasReceived(id + "\r\n");
            lost += reachedRaw ? 1 : 0;
            CHECK(response.status == (reachedRaw ? 502 : 200));
            CHECK(fixture.runs.runs(id) == (reachedRaw ? 0 : 1));
        }
        CHECK(lost > 0);
    }
}

TEST_CASE("A request is cancelled when its caller disconnects")
{
    GatewayFixture fixture(1);
    fixture.setMode(0, ServerMode::Hangs);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    {
        CallerConnection caller(gateway->daemon().callersAddress());
        caller.send(requestBytes("GET", "/safe/x", "g1"));
        REQUIRE(eventually([&] { return fixture.runs.runs("g1") == 1; }));
        caller.close();
    }
    auto metrics = [&] { return RunningGateway::get(gateway->daemon().metricsAddress(), "/metrics").body; };
    CHECK(eventually([&] { return metrics().find("cowslipledge_abandoned_total 1") != std::string::npos; }));
}

TEST_CASE("A server whose address another server has taken over gets no requests")
{
    GatewayFixture fixture(1);
    fixture.thread.call([&] {
        auto value = fixture.servers[0]->registryValue();
        fixture.store->put(Names::registryTable, "gone-server", value);
    });
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    for (int i = 0; i < 6; ++i)
        CHECK(gateway->call(requestBytes("POST", "/once/x", "m" + std::to_string(i))).status == 200);
}

TEST_CASE("A draining server gets no new requests")
{
    GatewayFixture fixture(2);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    fixture.thread.call([&] { fixture.store->put(Names::registryTable, "server-1", fixture.servers[0]->registryValue(true)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(2000)); // the operators' bound for registry changes to take effect
    auto before = fixture.thread.call([&] { return fixture.servers[0]->arrivals(); });
    for (int i = 0; i < 10; ++i)
        CHECK(gateway->call(requestBytes("GET", "/safe/x", "d" + std::to_string(i))).status == 200);
    CHECK(fixture.thread.call([&] { return fixture.servers[0]->arrivals(); }) == before);
}

TEST_CASE("Shutdown answers requests in flight, and the directory no longer lists the gateway")
{
    GatewayFixture fixture(1);
    fixture.thread.call([&] { fixture.servers[0]->setWork(std::chrono::milliseconds(700)); });
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    CallerConnection caller(gateway->daemon().callersAddress());
    caller.send(requestBytes("POST", "/once/x", "s1"));
    REQUIRE(eventually([&] { return fixture.runs.runs("s1") == 1; }));
    gateway->daemon().shutDown();
    CHECK(eventually([&] { return RunningGateway::get(gateway->daemon().readyAddress(), Names::readyPath).status == 503; }));
    CHECK(RunningGateway::get(gateway->daemon().directoryAddress(), std::string(Names::directoryPath) + "?zone=a").status == 503);
    // A caller that still uses an earlier directory answer is served.
    CallerConnection late(gateway->daemon().callersAddress());
    late.send(requestBytes("GET", "/safe/x", "s2"));
    CHECK(caller.receive().status == 200);
    CHECK(caller.closes());
    CHECK(late.receive().status == 200);
    CHECK(gateway->join());
}
