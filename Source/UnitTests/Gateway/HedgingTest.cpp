#include <doctest/doctest.h>

#include "Gateway/GatewayFixture.h"

namespace {

using PlatformStandIn::ServerMode;
using UnitTests::CallerConnection;
using UnitTests::eventually;
using UnitTests::GatewayFixture;
using UnitTests::requestBytes;
using UnitTests::RunningGateway;
namespace Names = PlatformAdapter::Names;

// Two servers, and a gateway that has learned the response times of both and has saved up a hedge.
struct HedgingFixture {
    explicit HedgingFixture(double share)
    {
        auto settings = RunningGateway::settings(servers.storeAddress(), {}, "127.0.0.1:0", Common::LogFormat::Off);
        settings.hedgeShare = share;
        // With the default this gateway, one of an assumed 20, may send 6 load probes a second, and hedges need one each.
        settings.probesPerServer = 10000;
        gateway = std::make_unique<RunningGateway>(settings);
        REQUIRE(gateway->waitReady());
        constexpr int requests = 80;
        send(requests);
        // On a busy machine some of these are hedged: goes on until a hedge is saved up again.
        constexpr int furtherRequests = 10;
        for (int before = -1; before != metric("hedges_total");) {
            before = metric("hedges_total");
            send(furtherRequests);
        }
    }

    void send(int n)
    {
        for (int i = 0; i < n; ++i)
            REQUIRE(gateway->call(requestBytes("GET", "/safe/x", "w" + std::to_string(m_sent++))).status == 200);
    }
    // Sends a request whose first attempt goes to the first server, while the second one reports no free slot.
    std::unique_ptr<CallerConnection> sendToFirst(const std::string& method, const std::string& target, const std::string& id, int deadlineMs = 1000)
    {
        setOtherWork(1, 4);
        // The gateway places requests by older reports when it has sent many load probes.
        constexpr int maxRequests = 60;
        for (int i = 0; i < maxRequests; ++i) {
            auto before = arrivals(0);
            auto beforeOther = arrivals(1);
            auto caller = std::make_unique<CallerConnection>(gateway->daemon().callersAddress());
            caller->send(requestBytes(method, target, id + std::to_string(i), deadlineMs));
            REQUIRE(eventually([&] { return arrivals(0) > before || arrivals(1) > beforeOther; }));
            if (arrivals(0) > before) {
                lastId = id + std::to_string(i);
                return caller;
            }
            // The other work ends with the slots, so that this request does.
            setOtherWork(1, 0);
            (void)caller->receive();
            setOtherWork(1, 4);
        }
        FAIL("no request reached the first server");
        return nullptr;
    }
    void setOtherWork(std::size_t index, int slots)
    {
        servers.thread.call([&] { servers.servers[index]->setOtherWork(slots); });
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
    std::string lastId; // of the request that sendToFirst() has sent to the first server

private:
    int m_sent = 0;
};

struct SlowCase {
    std::string what;
    double share;
    ServerMode mode; // of the first server
    Common::Duration work; // of the first server
};

constexpr auto usualWork = std::chrono::milliseconds(10);
constexpr auto longerThanDeadline = std::chrono::seconds(5);

const SlowCase slowCases[] = {
    { "one server hangs", 0.2, ServerMode::Hangs, usualWork },
    { "one server is slow", 0.2, ServerMode::Serving, longerThanDeadline },
    { "one server hangs, share 0: hedged as the retry budget allows", 0, ServerMode::Hangs, usualWork },
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
        auto hedges = fixture.metric("hedges_total");
        auto won = fixture.metric("hedges_won_total");
        auto caller = fixture.sendToFirst("GET", "/safe/x", "h");
        fixture.setOtherWork(1, 0);
        CHECK(caller->receive().status == 200);
        CHECK(fixture.servers.runs.runs(fixture.lastId) <= 2);
        // The stand-in ends a request whose connection is closed only in this mode.
        if (row.mode == ServerMode::Hangs) {
            auto answered = std::chrono::steady_clock::now();
            CHECK(eventually([&] { return fixture.running(0) == 0; }));
            CHECK(std::chrono::steady_clock::now() - answered < std::chrono::milliseconds(500));
        }
        CHECK((fixture.metric("hedges_total") > hedges) == (row.share > 0));
        CHECK((fixture.metric("hedges_won_total") > won) == (row.share > 0));
        CHECK(fixture.metric("second_sends_total") >= 1);
    }
}

TEST_CASE("A request that is not safe to repeat is never hedged")
{
    HedgingFixture fixture(0.2);
    fixture.setWork(0, std::chrono::milliseconds(500));
    auto caller = fixture.sendToFirst("POST", "/once/x", "u");
    fixture.setOtherWork(1, 0);
    auto hedges = fixture.metric("hedges_total") + fixture.metric("hedges_denied_total");
    CHECK(caller->receive().status == 200);
    CHECK(fixture.servers.runs.runs(fixture.lastId) == 1);
    CHECK(fixture.metric("hedges_total") + fixture.metric("hedges_denied_total") == hedges);
}

// Guards against a hedge that turns a slow success into an error.
TEST_CASE("An error response to a hedge waits for the open attempt")
{
    HedgingFixture fixture(0.2);
    fixture.setWork(0, std::chrono::milliseconds(700));
    auto hedges = fixture.metric("hedges_total");
    auto caller = fixture.sendToFirst("GET", "/safe/x", "e");
    fixture.servers.setMode(1, ServerMode::Fails);
    fixture.setOtherWork(1, 0);
    CHECK(caller->receive().status == 200);
    CHECK(fixture.metric("hedges_total") > hedges);
    CHECK(fixture.servers.runs.runs(fixture.lastId) == 2);
}

// Guards against hedges that take the last slots of servers without room.
TEST_CASE("No hedge is sent while the other servers have no room")
{
    HedgingFixture fixture(0.2);
    fixture.servers.setMode(0, ServerMode::Hangs);
    auto caller = fixture.sendToFirst("GET", "/safe/x", "f", 500);
    // One slot is free, which only first attempts of urgent requests may use.
    fixture.setOtherWork(1, 3);
    auto hedges = fixture.metric("hedges_total");
    auto arrivals = fixture.arrivals(1);
    CHECK(caller->receive().status == 504);
    CHECK(fixture.arrivals(1) == arrivals);
    CHECK(fixture.metric("hedges_total") == hedges);
    CHECK(fixture.metric("hedges_denied_total") >= 1);
}

// Guards against more hedges than the operators allow: without the share, this request gets a second attempt.
TEST_CASE("Hedges stop when their share of the requests is used up")
{
    HedgingFixture fixture(0.001);
    fixture.servers.setMode(0, ServerMode::Hangs);
    auto caller = fixture.sendToFirst("GET", "/safe/x", "s", 500);
    fixture.setOtherWork(1, 0);
    CHECK(caller->receive().status == 504);
    CHECK(fixture.metric("hedges_total") == 0);
    CHECK(fixture.metric("hedges_denied_total") >= 1);
}
