#include <doctest/doctest.h>

#include "Gateway/GatewayFixture.h"

namespace {

using PlatformStandIn::ServerMode;
using UnitTests::eventually;
using UnitTests::GatewayFixture;
using UnitTests::requestBytes;
using UnitTests::RunningGateway;
namespace Names = PlatformAdapter::Names;

constexpr int maxRequests = 60; // of one case until the faulty server has got one

// Two servers, and a gateway that has learned the response times of both and has saved up a hedge.
struct HedgingFixture {
    explicit HedgingFixture(double share)
    {
        auto settings = RunningGateway::settings(servers.storeAddress(), {}, "127.0.0.1:0", Common::LogFormat::Off);
        settings.hedgeShare = share;
        gateway = std::make_unique<RunningGateway>(settings);
        REQUIRE(gateway->waitReady());
        constexpr int requests = 80;
        for (int i = 0; i < requests; ++i)
            REQUIRE(gateway->call(requestBytes("GET", "/safe/x", "w" + std::to_string(i))).status == 200);
        REQUIRE(metric("hedges_total") == 0);
    }

    int metric(const std::string& name)
    {
        auto page = RunningGateway::get(gateway->daemon().metricsAddress(), "/metrics").body;
        auto line = "\ncowslipledge_" + name + " ";
        auto at = page.find(line);
        REQUIRE(at != std::string::npos);
        return std::stoi(page.substr(at + line.size()));
    }
    void setWork(std::size_t index, Common::Duration work)
    {
        servers.thread.call([&] { servers.servers[index]->setWork(work); });
    }
    int arrivals(std::size_t index)
    {
        return servers.thread.call([&] { return servers.servers[index]->arrivals(); });
    }
    // Requests that the server is running, as it reports.
    int running(std::size_t index)
    {
        auto response = RunningGateway::get(servers.thread.call([&] { return servers.servers[index]->address(); }), "/health");
        auto load = Net::findHeader(response.headers, Names::load);
        REQUIRE(load);
        return std::stoi(std::string(*load));
    }

    GatewayFixture servers;
    std::unique_ptr<RunningGateway> gateway;
};

struct SlowCase {
    std::string what;
    double share;
    ServerMode mode; // of the first server
    Common::Duration work; // of the first server
    ServerMode otherMode;
};

constexpr auto usualWork = std::chrono::milliseconds(10);
constexpr auto longerThanDeadline = std::chrono::seconds(5);

const SlowCase slowCases[] = {
    { "one server hangs", 0.2, ServerMode::Hangs, usualWork, ServerMode::Serving },
    { "one server is slow", 0.2, ServerMode::Serving, longerThanDeadline, ServerMode::Serving },
    { "one server hangs, share 0: hedged as the retry budget allows", 0, ServerMode::Hangs, usualWork, ServerMode::Serving },
};

}

// Guards against slow servers that make safe requests time out, and against lost attempts that keep a slot in use.
TEST_CASE("A safe request at a slow server is answered by a hedge, and the slow attempt is cancelled at once")
{
    for (const auto& row : slowCases) {
        CAPTURE(row.what);
        HedgingFixture fixture(row.share);
        fixture.servers.setMode(0, row.mode);
        fixture.setWork(0, row.work);
        auto before = fixture.arrivals(0);
        for (int i = 0; i < maxRequests && fixture.arrivals(0) == before; ++i) {
            auto id = "h" + std::to_string(i);
            CHECK(fixture.gateway->call(requestBytes("GET", "/safe/x", id)).status == 200);
            CHECK(fixture.servers.runs.runs(id) <= 2);
        }
        REQUIRE(fixture.arrivals(0) == before + 1);
        // The stand-in ends a request whose connection is closed only in this mode.
        if (row.mode == ServerMode::Hangs) {
            auto answered = std::chrono::steady_clock::now();
            CHECK(eventually([&] { return fixture.running(0) == 0; }));
            CHECK(std::chrono::steady_clock::now() - answered < std::chrono::milliseconds(500));
        }
        auto hedges = row.share > 0 ? 1 : 0;
        CHECK(fixture.metric("hedges_total") == hedges);
        CHECK(fixture.metric("hedges_won_total") == hedges);
        CHECK(fixture.metric("second_sends_total") == 1);
    }
}

TEST_CASE("A request that is not safe to repeat is never hedged")
{
    HedgingFixture fixture(0.2);
    fixture.setWork(0, std::chrono::milliseconds(300));
    auto before = fixture.arrivals(0);
    for (int i = 0; i < maxRequests && fixture.arrivals(0) == before; ++i) {
        auto id = "u" + std::to_string(i);
        CHECK(fixture.gateway->call(requestBytes("POST", "/once/x", id, 1000, "body")).status == 200);
        CHECK(fixture.servers.runs.runs(id) == 1);
    }
    CHECK(fixture.arrivals(0) == before + 1);
    CHECK(fixture.metric("hedges_total") == 0);
    CHECK(fixture.metric("hedges_denied_total") == 0);
    CHECK(fixture.metric("second_sends_total") == 0);
}

// Guards against a hedge that turns a slow success into an error.
TEST_CASE("An error response to a hedge waits for the open attempt")
{
    HedgingFixture fixture(0.2);
    fixture.setWork(0, std::chrono::milliseconds(400));
    fixture.servers.setMode(1, ServerMode::Fails);
    for (int i = 0; i < maxRequests && fixture.metric("hedges_total") == 0; ++i)
        CHECK(fixture.gateway->call(requestBytes("GET", "/safe/x", "e" + std::to_string(i))).status == 200);
    CHECK(fixture.metric("hedges_total") == 1);
    CHECK(fixture.metric("hedges_won_total") == 0);
}

// Guards against hedges that take the last slots of servers without room.
TEST_CASE("No hedge is sent while the other servers have no room")
{
    HedgingFixture fixture(0.2);
    fixture.servers.setMode(0, ServerMode::Hangs);
    // One slot stays free, which only first attempts of urgent requests may use.
    fixture.servers.thread.call([&] { fixture.servers.servers[1]->setOtherWork(3); });
    auto before = fixture.arrivals(1);
    CHECK(fixture.gateway->call(requestBytes("GET", "/safe/x", "full", 500)).status == 504);
    CHECK(fixture.arrivals(1) == before);
    CHECK(fixture.metric("hedges_total") == 0);
    CHECK(fixture.metric("hedges_denied_total") == 1);
    CHECK(fixture.metric("second_sends_total") == 0);
}

// Guards against more hedges than the operators allow: without the share, each of these requests gets a second attempt.
TEST_CASE("Hedges stop when their share of the requests is used up")
{
    HedgingFixture fixture(0.001);
    fixture.servers.setMode(0, ServerMode::Hangs);
    auto before = fixture.arrivals(0);
    for (int i = 0; i < maxRequests && fixture.arrivals(0) == before; ++i)
        (void)fixture.gateway->call(requestBytes("GET", "/safe/x", "s" + std::to_string(i), 300));
    CHECK(fixture.arrivals(0) > before);
    CHECK(fixture.metric("hedges_total") == 0);
    CHECK(fixture.metric("hedges_denied_total") == 1);
}
