#include "GatewayFixture.h"

#include <doctest/doctest.h>

#include "Backends/ScriptedServer.h"

// Requests that end each server that begins to run them.

namespace {

using UnitTests::eventually;
using UnitTests::GatewayFixture;
using UnitTests::requestBytes;
using UnitTests::RunningGateway;

// The operators' bound: three servers may end, and then three more sends of the request are allowed.
constexpr int mostEndedServers = 6;

struct DeadlyCase {
    std::string name;
    std::string method;
    std::string target;
    int gateways;
};

const DeadlyCase cases[] = {
    { "safe to repeat, one gateway", "GET", "/safe/deadly", 1 },
    { "not safe to repeat, one gateway", "POST", "/once/deadly", 1 },
    { "safe to repeat, at three gateways by turns", "GET", "/safe/deadly", 3 },
    { "not safe to repeat, at three gateways by turns", "POST", "/once/deadly", 3 },
};

// The servers end when they begin to run a request to `target`.
void setDeadlyTarget(GatewayFixture& fixture, const std::string& target)
{
    fixture.thread.call([&] {
        for (auto& server : fixture.servers)
            server->setDeadlyTarget(target);
    });
}

std::string storedReports(GatewayFixture& fixture)
{
    return fixture.thread.call([&] { return fixture.store->value("gateway", "crash-reports"); });
}

// Whether the gateway's metrics page has a line such as "members 3".
bool shows(RunningGateway& gateway, const std::string& metric)
{
    return RunningGateway::get(gateway.daemon().metricsAddress(), "/metrics").body.find("cowslipledge_" + metric + "\n") != std::string::npos;
}

int endedServers(GatewayFixture& fixture)
{
    return fixture.thread.call([&] {
        return static_cast<int>(std::count_if(fixture.servers.begin(), fixture.servers.end(), [](const auto& it) { return it->hasCrashed(); }));
    });
}

}

// Guards against a request that ends server after server, since its failures at different servers and gateways are not related.
TEST_CASE("A request that ends the servers that run it is refused after few, and other requests are served")
{
    constexpr int servers = 16;
    constexpr int arrivals = 24;
    for (const auto& row : cases) {
        CAPTURE(row.name);
        GatewayFixture fixture(servers);
        setDeadlyTarget(fixture, row.target);
        std::vector<std::string> seeds { "127.0.0.1:18441" };
        std::vector<std::unique_ptr<RunningGateway>> gateways;
        for (int i = 0; i < row.gateways; ++i)
            gateways.push_back(fixture.gateway(seeds, "127.0.0.1:" + std::to_string(18441 + i)));
        for (auto& gateway : gateways)
            REQUIRE(gateway->waitReady());
        REQUIRE(eventually([&] {
            return std::all_of(gateways.begin(), gateways.end(), [&](auto& it) { return shows(*it, "members " + std::to_string(row.gateways)); });
        }));
        int lastStatus = 0;
        for (int i = 0; i < arrivals; ++i) {
            auto& gateway = gateways[static_cast<std::size_t>(i) % gateways.size()];
            lastStatus = gateway->call(requestBytes(row.method, row.target, "deadly" + std::to_string(i))).status;
            if (lastStatus != 503)
                std::this_thread::sleep_for(std::chrono::milliseconds(300)); // arrivals of one caller follow each other
        }
        CHECK(lastStatus == 503);
        CHECK(endedServers(fixture) <= mostEndedServers);
        for (int i = 0; i < 10; ++i)
            CHECK(gateways.front()->call(requestBytes("GET", "/safe/x" + std::to_string(i), "sound" + std::to_string(i))).status == 200);
        gateways.clear();
    }
}

struct EvidenceCase {
    std::string name;
    std::size_t failingServers; // that answer it with a 5xx status and go on running
    std::optional<std::string> limit; // requests a second that each server names
};

const EvidenceCase evidenceCases[] = {
    { "some servers fail it", 6, {} },
    { "servers name a limit", 0, "4" },
};

// Guards against a request that is not blocked although it ended several servers: some failed it, or could not be probed afterwards.
TEST_CASE("A request that ends servers is blocked whatever they had said before, and whatever others answer")
{
    constexpr int servers = 16;
    constexpr int arrivals = 100;
    const std::string target = "/once/deadly";
    for (const auto& row : evidenceCases) {
        CAPTURE(row.name);
        GatewayFixture fixture(servers);
        setDeadlyTarget(fixture, target);
        fixture.thread.call([&] {
            for (auto& server : fixture.servers)
                server->setLimit(row.limit, true);
            for (std::size_t i = 0; i < row.failingServers; ++i)
                fixture.servers[i]->setMode(PlatformStandIn::ServerMode::Fails);
        });
        auto gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
        // A server's limit is known once it has answered.
        for (int i = 0; row.limit && i < 4 * servers; ++i)
            gateway->call(requestBytes("GET", "/safe/x" + std::to_string(i), "limit" + std::to_string(i)));
        for (int i = 0; i < arrivals && !shows(*gateway, "blocked_requests 1"); ++i) {
            gateway->call(requestBytes("POST", target, "deadly" + std::to_string(i)));
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        CHECK(shows(*gateway, "blocked_requests 1"));
        CHECK(endedServers(fixture) <= mostEndedServers);
        gateway.reset();
    }
}

// Guards against sound requests that are blocked since servers which can't be probed now have ended a connection.
TEST_CASE("A server that ends a connection and still runs is not taken to have crashed")
{
    using namespace UnitTests;
    for (const std::string limit : { "", "2" }) {
        CAPTURE(limit);
        auto health = "HTTP/1.1 200 OK\r\n" + std::string(Names::instanceId) + ": raw\r\n" + Names::load + ": 0,0,4,100\r\n"
            + (limit.empty() ? "" : std::string(Names::serverLimit) + ": " + limit + "\r\n") + "Content-Length: 0\r\n\r\n";
        ScriptedServer server({ { ReadRequest {}, SendBytes { health }, ReadRequest {}, CloseConnection {} } });
        GatewayFixture fixture(1);
        fixture.thread.call([&] {
            auto value = fixture.servers[0]->registryValue();
            auto at = value.find("127.0.0.1:");
            value.replace(at, value.find('"', at) - at, server.address());
            fixture.store->remove(Names::registryTable, "server-1");
            fixture.store->put(Names::registryTable, "raw", value);
        });
        auto gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
        int n = 0;
        REQUIRE(eventually([&] { return gateway->call(requestBytes("POST", "/once/x", "sound" + std::to_string(++n))).status == 502; }));
        CHECK(server.hasReceived("POST /once/x"));
        std::this_thread::sleep_for(std::chrono::milliseconds(500)); // until the gateway has found out
        CHECK(shows(*gateway, "crash_suspects 0"));
        gateway.reset();
    }
}

// Guards against a blocked request that ends servers again after all gateways have been restarted.
TEST_CASE("A request that ended servers stays refused when all gateways have been restarted")
{
    constexpr int servers = 16;
    const std::string target = "/once/deadly";
    GatewayFixture fixture(servers);
    setDeadlyTarget(fixture, target);
    auto control = std::string("127.0.0.1:18445");
    auto gateway = fixture.gateway({ control }, control);
    REQUIRE(gateway->waitReady());
    auto status = [&](const std::string& id) { return gateway->call(requestBytes("POST", target, id)).status; };
    int n = 0;
    CHECK(eventually([&] { return status("before" + std::to_string(++n)) == 503; }));
    CHECK(eventually([&] { return !storedReports(fixture).empty(); }));
    auto ended = endedServers(fixture);
    gateway.reset();
    gateway = fixture.gateway({ control }, control);
    REQUIRE(gateway->waitReady());
    CHECK(eventually([&] { return shows(*gateway, "blocked_requests 1"); }));
    for (int i = 0; i < 5; ++i)
        CHECK(status("after" + std::to_string(i)) == 503);
    CHECK(endedServers(fixture) == ended);
    gateway.reset();
}

// Guards against a blocked request that ends servers again when all gateways restart after the store has lost what they wrote.
TEST_CASE("Blocked requests are stored again after the store was restored from a copy")
{
    constexpr int servers = 16;
    const std::string target = "/once/deadly";
    GatewayFixture fixture(servers);
    setDeadlyTarget(fixture, target);
    fixture.thread.call([&] { fixture.store->saveCopy(); });
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    int n = 0;
    REQUIRE(eventually([&] { return gateway->call(requestBytes("POST", target, "deadly" + std::to_string(++n))).status == 503; }));
    REQUIRE(eventually([&] { return !storedReports(fixture).empty(); }));
    auto before = storedReports(fixture);
    fixture.thread.call([&] { fixture.store->restoreCopy(); });
    REQUIRE(storedReports(fixture).empty());
    CHECK(eventually([&] { return storedReports(fixture) == before; }));
    gateway.reset();
}
