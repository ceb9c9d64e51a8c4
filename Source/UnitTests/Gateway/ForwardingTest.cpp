#include "FleetFixture.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "Gateway/ForwardedRequest.h"

// Requests that one gateway forwards to another.

namespace {

using std::chrono::milliseconds;
using UnitTests::CallerConnection;
using UnitTests::CutKind;
using UnitTests::eventually;
using UnitTests::Fleet;
using UnitTests::requestBytes;

// Until a gateway that is cut off knows it.
void learnCut(Fleet& fleet, int index)
{
    CHECK(eventually([&] {
        fleet.gateway(index).call(requestBytes("GET", "/safe/x", "learn", 300));
        return Fleet::metric(fleet.gateway(index), "unreachable_services") == 1;
    }));
}

int sum(Fleet& fleet, int gateways, const std::string& metric)
{
    auto total = 0;
    for (int i = 0; i < gateways; ++i)
        total += Fleet::metric(fleet.gateway(i), metric).value_or(0);
    return total;
}

struct AnswerCase {
    std::string name;
    std::string method;
    std::string target;
    std::size_t paddingBytes = 0;
    std::size_t bodyBytes = 0;
};

const AnswerCase answerCases[] = {
    { "safe", "GET", "/safe/x" },
    { "not safe to repeat", "POST", "/once/x", 0, 4 },
    { "streamed body", "POST", "/once/x", 0, 900'000 },
    { "beyond what a gateway holds", "GET", "/safe/x", 3'000'000 },
};

}

TEST_CASE("A forwarded request gets its own answer whole, and runs once")
{
    Fleet fleet(2, 20142);
    REQUIRE(fleet.waitReady());
    fleet.cut(0, CutKind::Silent);
    learnCut(fleet, 0);
    for (const auto& row : answerCases) {
        CAPTURE(row.name);
        fleet.fixture().thread.call([&] {
            for (auto& server : fleet.fixture().servers)
                server->setPadding(row.paddingBytes);
        });
        CallerConnection caller(fleet.gateway(0).daemon().callersAddress());
        for (int i = 0; i < 20; ++i) {
            auto id = row.name + std::to_string(i);
            auto body = std::string(row.bodyBytes / 2, 'b') + std::string(row.bodyBytes - row.bodyBytes / 2, static_cast<char>('a' + i));
            caller.send(requestBytes(row.method, row.target, id, 5000, body));
            auto response = caller.receive();
            CHECK(response.status == 200);
            CHECK(response.body == "answer to " + id + std::string(row.paddingBytes, 'x'));
            CHECK(!Net::findHeader(response.headers, Gateway::forwardedHeader));
            CHECK(fleet.runs(id) == 1);
            if (row.bodyBytes > 0)
                CHECK(fleet.fixture().thread.call([&] { return std::any_of(fleet.fixture().servers.begin(), fleet.fixture().servers.end(), [&](const auto& it) { return it->lastBody() == body; }); }));
        }
    }
}

// Guards against requests that go round among gateways that all have lost their servers.
TEST_CASE("When no gateway reaches the servers, requests are refused and not passed on")
{
    constexpr int gateways = 3;
    Fleet fleet(gateways, 20144);
    REQUIRE(fleet.waitReady());
    for (int i = 0; i < gateways; ++i)
        fleet.cut(i, CutKind::Reset);
    for (int i = 0; i < gateways; ++i)
        learnCut(fleet, i);
    auto before = sum(fleet, gateways, "accepted_forwarded_total");
    for (int n = 0; n < 30; ++n) {
        auto id = "refused" + std::to_string(n);
        auto response = fleet.gateway(n % gateways).call(requestBytes(n % 2 == 0 ? "GET" : "POST", n % 2 == 0 ? "/safe/x" : "/once/x", id));
        CHECK(response.status == 503);
        CHECK(Net::findHeader(response.headers, "Retry-After"));
        CHECK(fleet.runs(id) == 0);
    }
    CHECK(sum(fleet, gateways, "accepted_forwarded_total") == before);
    // Requests are served again soon after one gateway has its paths back.
    fleet.heal(0);
    for (int i = 0; i < gateways; ++i)
        CHECK(eventually([&] { return fleet.gateway(i).call(requestBytes("GET", "/safe/x", "healed")).status == 200; }));
}

TEST_CASE("A gateway that reaches its servers again forwards nothing more")
{
    Fleet fleet(2, 20147);
    REQUIRE(fleet.waitReady());
    fleet.cut(0, CutKind::Silent);
    learnCut(fleet, 0);
    fleet.heal(0);
    CHECK(eventually([&] { return Fleet::metric(fleet.gateway(0), "unreachable_services") == 0; }));
    auto before = Fleet::metric(fleet.gateway(0), "forwarded_total");
    for (int i = 0; i < 20; ++i)
        CHECK(fleet.gateway(0).call(requestBytes("GET", "/safe/x", "healed" + std::to_string(i))).status == 200);
    CHECK(Fleet::metric(fleet.gateway(0), "forwarded_total") == before);
}

// A request is told from a forwarded one by the port that it comes in at.
TEST_CASE("A caller can't pass a request off as a forwarded one")
{
    Fleet fleet(2, 20149);
    REQUIRE(fleet.waitReady());
    auto bytes = requestBytes("GET", "/nowhere/x", "spoofed");
    bytes.insert(bytes.find("\r\n") + 2, std::string(Gateway::forwardedHeader) + ": ?service=service&route=r&repeat=safe&goal_ms=300&priority=1&attempts=2\r\n");
    CHECK(fleet.gateway(0).call(bytes).status == 404);
    CHECK(fleet.runs("spoofed") == 0);
}

// Guards against saying "not run" of a request whose answer was lost between two gateways.
TEST_CASE("When the other gateway ends under a forwarded request, one that must not be repeated is answered 502 and runs once")
{
    Fleet fleet(3, 20151);
    REQUIRE(fleet.waitReady());
    fleet.cut(0, CutKind::Silent);
    fleet.cut(1, CutKind::Silent);
    learnCut(fleet, 0);
    learnCut(fleet, 1);
    fleet.setWork(milliseconds(400));
    CallerConnection caller(fleet.gateway(0).daemon().callersAddress());
    caller.send(requestBytes("POST", "/once/x", "lost", 3000, "body"));
    REQUIRE(eventually([&] { return fleet.runs("lost") == 1; }));
    fleet.stop(2);
    CHECK(caller.receive().status == 502);
    CHECK(fleet.runs("lost") == 1);
}

TEST_CASE("A planned stop of the other gateway cuts no forwarded request")
{
    Fleet fleet(2, 20154);
    REQUIRE(fleet.waitReady());
    fleet.cut(0, CutKind::Silent);
    learnCut(fleet, 0);
    fleet.setWork(milliseconds(500));
    CallerConnection caller(fleet.gateway(0).daemon().callersAddress());
    caller.send(requestBytes("POST", "/once/x", "planned", 3000, "body"));
    REQUIRE(eventually([&] { return fleet.runs("planned") == 1; }));
    fleet.gateway(1).daemon().shutDown();
    CHECK(caller.receive().status == 200);
    CHECK(fleet.gateway(1).join());
}

TEST_CASE("A caller that leaves ends its request at both gateways")
{
    Fleet fleet(2, 20156);
    REQUIRE(fleet.waitReady());
    fleet.cut(0, CutKind::Silent);
    learnCut(fleet, 0);
    fleet.setWork(std::chrono::seconds(5));
    {
        CallerConnection caller(fleet.gateway(0).daemon().callersAddress());
        caller.send(requestBytes("GET", "/safe/x", "left", 5000));
        REQUIRE(eventually([&] { return fleet.runs("left") == 1; }));
        caller.close();
    }
    CHECK(eventually([&] { return Fleet::metric(fleet.gateway(0), "abandoned_total") == 1 && Fleet::metric(fleet.gateway(1), "abandoned_total") == 1; }));
    CHECK(eventually([&] { return Fleet::metric(fleet.gateway(1), "requests_in_flight") == 0; }));
}

TEST_CASE("A forwarded request is answered 504 at its caller's deadline")
{
    Fleet fleet(2, 20158);
    REQUIRE(fleet.waitReady());
    fleet.cut(0, CutKind::Silent);
    learnCut(fleet, 0);
    fleet.setWork(std::chrono::seconds(5));
    CHECK(fleet.gateway(0).call(requestBytes("GET", "/safe/x", "late", 600)).status == 504);
    CHECK(eventually([&] { return Fleet::metric(fleet.gateway(1), "requests_in_flight") == 0; }));
}

// Guards against a gateway that sends requests to a server although it has passed on that server's word that it is leaving.
TEST_CASE("What a server says of itself in the answer to a forwarded request holds for both gateways")
{
    Fleet fleet(2, 20180);
    REQUIRE(fleet.waitReady());
    fleet.cut(0, CutKind::Silent);
    learnCut(fleet, 0);
    auto arrivals = [&] {
        return fleet.fixture().thread.call([&] {
            std::vector<int> list;
            for (auto& server : fleet.fixture().servers)
                list.push_back(server->arrivals());
            return list;
        });
    };
    auto setLeaving = [&](bool leaving) {
        fleet.fixture().thread.call([&] {
            for (auto& server : fleet.fixture().servers)
                server->setLeaving(leaving);
        });
    };
    // Only the server that runs the request is heard to leave.
    fleet.setWork(milliseconds(400));
    auto before = arrivals();
    CallerConnection caller(fleet.gateway(0).daemon().callersAddress());
    caller.send(requestBytes("POST", "/once/x", "leaving", 3000, "body"));
    REQUIRE(eventually([&] { return fleet.runs("leaving") == 1; }));
    auto after = arrivals();
    auto server = std::mismatch(before.begin(), before.end(), after.begin()).first - before.begin();
    setLeaving(true);
    auto response = caller.receive();
    setLeaving(false);
    REQUIRE(Net::findHeader(response.headers, UnitTests::Names::serverLeaving));
    CHECK(!Net::findHeader(response.headers, Gateway::servedByHeader));
    fleet.setWork(milliseconds(5));
    fleet.heal(0);
    REQUIRE(eventually([&] { return Fleet::metric(fleet.gateway(0), "unreachable_services") == 0; }));
    before = arrivals();
    for (int i = 0; i < 100; ++i)
        CHECK(fleet.gateway(i % 2).call(requestBytes("GET", "/safe/x", "afterwards" + std::to_string(i))).status == 200);
    CHECK(arrivals()[static_cast<std::size_t>(server)] == before[static_cast<std::size_t>(server)]);
}

// Guards against forwarded requests that are refused as "shed", since the gateway that got them has hardly any requests of its own and so no
// retries.
TEST_CASE("Forwarded requests bring their share of the retry budget to the gateway that makes the attempts")
{
    constexpr int requests = 200;
    constexpr int servers = 8;
    // A gateway uses three quarters of the budget, and forwards once it knows that it is cut off.
    constexpr double ratio = 0.2;
    constexpr int expectedRetries = requests / 10;
    constexpr int allowedRetries = static_cast<int>(ratio * requests);
    Fleet fleet(2, 20210, servers, [&](auto& settings) {
        settings.retryRatio = ratio;
        settings.retrySlack = 0;
    });
    REQUIRE(fleet.waitReady());
    fleet.cut(0, CutKind::Reset);
    learnCut(fleet, 0);
    // All of them, since those that reject requests are avoided while there are others.
    for (std::size_t i = 0; i < servers; ++i)
        fleet.fixture().setMode(i, PlatformStandIn::ServerMode::Sheds);
    auto before = sum(fleet, 2, "second_sends_total");
    for (int i = 0; i < requests; ++i) {
        CHECK(fleet.gateway(0).call(requestBytes("GET", "/safe/x", "shed" + std::to_string(i))).status == 503);
    }
    auto retries = sum(fleet, 2, "second_sends_total") - before;
    CHECK(retries >= expectedRetries);
    CHECK(retries <= allowedRetries);
}
