#include "GatewayFixture.h"

#include <doctest/doctest.h>

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

bool isBlockedAt(RunningGateway& gateway)
{
    return RunningGateway::get(gateway.daemon().metricsAddress(), "/metrics").body.find("cowslipledge_blocked_requests 1\n") != std::string::npos;
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
        fixture.thread.call([&] {
            for (auto& server : fixture.servers)
                server->setDeadlyTarget(row.target);
        });
        std::vector<std::string> seeds { "127.0.0.1:18441" };
        std::vector<std::unique_ptr<RunningGateway>> gateways;
        for (int i = 0; i < row.gateways; ++i)
            gateways.push_back(fixture.gateway(seeds, "127.0.0.1:" + std::to_string(18441 + i)));
        for (auto& gateway : gateways)
            REQUIRE(gateway->waitReady());
        REQUIRE(eventually([&] {
            return std::all_of(gateways.begin(), gateways.end(), [&](auto& it) {
                return RunningGateway::get(it->daemon().metricsAddress(), "/metrics").body.find("cowslipledge_members " + std::to_string(row.gateways) + "\n") != std::string::npos;
            });
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
};

const EvidenceCase evidenceCases[] = {
    { "some servers fail it", 6 },
};

// Guards against a request that is never blocked since a server that failed it did not end.
TEST_CASE("A request that ends servers is blocked although others fail it and go on running")
{
    constexpr int servers = 16;
    constexpr int arrivals = 100;
    const std::string target = "/once/deadly";
    for (const auto& row : evidenceCases) {
        CAPTURE(row.name);
        GatewayFixture fixture(servers);
        fixture.thread.call([&] {
            for (auto& server : fixture.servers)
                server->setDeadlyTarget(target);
            for (std::size_t i = 0; i < row.failingServers; ++i)
                fixture.servers[i]->setMode(PlatformStandIn::ServerMode::Fails);
        });
        auto gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
        for (int i = 0; i < arrivals && !isBlockedAt(*gateway); ++i) {
            gateway->call(requestBytes("POST", target, "deadly" + std::to_string(i)));
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        CHECK(isBlockedAt(*gateway));
        CHECK(endedServers(fixture) <= mostEndedServers);
        gateway.reset();
    }
}

// Guards against a blocked request that ends servers again after all gateways have been restarted.
TEST_CASE("A request that ended servers stays refused when all gateways have been restarted")
{
    constexpr int servers = 16;
    const std::string target = "/once/deadly";
    GatewayFixture fixture(servers);
    fixture.thread.call([&] {
        for (auto& server : fixture.servers)
            server->setDeadlyTarget(target);
    });
    auto control = std::string("127.0.0.1:18445");
    auto gateway = fixture.gateway({ control }, control);
    REQUIRE(gateway->waitReady());
    auto status = [&](const std::string& id) { return gateway->call(requestBytes("POST", target, id)).status; };
    int n = 0;
    CHECK(eventually([&] { return status("before" + std::to_string(++n)) == 503; }));
    CHECK(eventually([&] { return !fixture.thread.call([&] { return fixture.store->value("gateway", "crash-reports"); }).empty(); }));
    auto ended = endedServers(fixture);
    gateway.reset();
    gateway = fixture.gateway({ control }, control);
    REQUIRE(gateway->waitReady());
    CHECK(eventually([&] { return isBlockedAt(*gateway); }));
    for (int i = 0; i < 5; ++i)
        CHECK(status("after" + std::to_string(i)) == 503);
    CHECK(endedServers(fixture) == ended);
    gateway.reset();
}
