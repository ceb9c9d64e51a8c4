#include "GatewayFixture.h"

#include <doctest/doctest.h>

// What servers say of themselves in their answers: that they are leaving, and that they want no requests for a while.

namespace {

using PlatformStandIn::ServerMode;
using UnitTests::eventually;
using UnitTests::GatewayFixture;
using UnitTests::requestBytes;
using UnitTests::RunningGateway;
namespace Names = PlatformAdapter::Names;

// Requests and load probes that reached a server so far.
int contacts(GatewayFixture& fixture, std::size_t server)
{
    return fixture.thread.call([&] { return fixture.servers[server]->arrivals() + fixture.servers[server]->loadProbes(); });
}

// The status of one request that is safe to repeat.
int call(RunningGateway& gateway, const std::string& method = "GET", const std::string& target = "/safe/x")
{
    static std::atomic<int> number = 0;
    return gateway.call(requestBytes(method, target, "s" + std::to_string(++number))).status;
}

}

TEST_CASE("A server that says that it is leaving gets nothing new, whatever the registry says")
{
    GatewayFixture fixture(2);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    fixture.thread.call([&] { fixture.servers[0]->setLeaving(true); });
    REQUIRE(eventually([&] {
        CHECK(call(*gateway) == 200);
        return contacts(fixture, 0) > 0;
    }));
    auto before = contacts(fixture, 0);
    auto putRow = [&](int startedMs) {
        fixture.thread.call([&] { fixture.store->put(Names::registryTable, "server-1", fixture.servers[0]->registryValue(false, startedMs)); });
    };
    SUBCASE("its row stays as it was")
    {
    }
    SUBCASE("its row is removed and listed again")
    {
        fixture.thread.call([&] { fixture.store->remove(Names::registryTable, "server-1"); });
        REQUIRE(eventually([&] { return RunningGateway::get(gateway->daemon().metricsAddress(), "/metrics").body.find("cowslipledge_backend_servers 1\n") != std::string::npos; }));
        putRow(1);
        REQUIRE(eventually([&] { return RunningGateway::get(gateway->daemon().metricsAddress(), "/metrics").body.find("cowslipledge_backend_servers 2\n") != std::string::npos; }));
    }
    for (int i = 0; i < 20; ++i)
        CHECK(call(*gateway) == 200);
    CHECK(contacts(fixture, 0) == before);
    // A new incarnation under the same id is a new server.
    fixture.thread.call([&] { fixture.servers[0]->setLeaving(false); });
    putRow(2);
    fixture.setMode(1, ServerMode::Sheds); // so that there is a reason to use the new one
    CHECK(eventually([&] { return call(*gateway) == 200 && contacts(fixture, 0) > before; }));
}

TEST_CASE("A server that asks for a pause gets neither requests nor load probes until its end")
{
    GatewayFixture fixture(2);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    fixture.thread.call([&] { fixture.servers[0]->setRetryAfter("0.8"); });
    fixture.setMode(0, ServerMode::Pauses);
    REQUIRE(eventually([&] {
        CHECK(call(*gateway, "POST", "/once/x") == 200);
        return fixture.thread.call([&] { return fixture.servers[0]->arrivals() > 0; });
    }));
    auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(700);
    auto before = contacts(fixture, 0);
    while (std::chrono::steady_clock::now() < end) {
        CHECK(call(*gateway) == 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(contacts(fixture, 0) == before);
    fixture.setMode(0, ServerMode::Serving);
    fixture.setMode(1, ServerMode::Sheds); // so that there is a reason to use the first one again
    CHECK(eventually([&] { return call(*gateway) == 200 && contacts(fixture, 0) > before; }));
}

// Guards against a server that rejects everything at once, and so always seems idle, being preferred to those that work.
TEST_CASE("A server that rejects requests though it reports room gets few of them")
{
    constexpr int requests = 120;
    constexpr int fairShare = requests / 3;
    GatewayFixture fixture(3);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    fixture.setMode(0, ServerMode::Sheds);
    for (int i = 0; i < requests; ++i)
        call(*gateway);
    CHECK(fixture.thread.call([&] { return fixture.servers[0]->arrivals(); }) <= fairShare / 4);
}

TEST_CASE("While all servers pause, requests are refused at once with the time until the first one is back")
{
    GatewayFixture fixture(2);
    for (std::size_t i = 0; i < 2; ++i) {
        fixture.thread.call([&] { fixture.servers[i]->setRetryAfter("1.5"); });
        fixture.setMode(i, ServerMode::Pauses);
    }
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    for (int i = 0; i < 4; ++i)
        CHECK(call(*gateway, "POST", "/once/x") == 503);
    auto before = contacts(fixture, 0) + contacts(fixture, 1);
    auto begun = std::chrono::steady_clock::now();
    auto response = gateway->call(requestBytes("GET", "/safe/x", "paused"));
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(500));
    CHECK(response.status == 503);
    auto waitS = std::stod(std::string(Net::findHeader(response.headers, "Retry-After").value_or("0")));
    CHECK(waitS > 0.5);
    CHECK(waitS < 2);
    CHECK(contacts(fixture, 0) + contacts(fixture, 1) == before);
}

TEST_CASE("Download routes may be repeated; routes of an unknown kind may not")
{
    struct KindCase {
        std::string kind;
        std::string target;
        int status; // of a request to a failing server, with a good one beside it
        int runs;
    };
    const KindCase kinds[] = { { "download", "/download/x", 200, 2 }, { "sideways", "/sideways/x", 500, 1 } };
    std::string routes;
    for (const auto& row : kinds)
        routes += ",\"" + row.kind + R"(":{"host":"host.example","prefix":"/)" + row.kind + R"(/","route_type":")" + row.kind
            + R"(","timeout_ms":1000,"target_latency_ms":300,"priority":1,"service":"service","max_attempts":2})";
    for (const auto& row : kinds) {
        CAPTURE(row.kind);
        GatewayFixture fixture(2);
        fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(2, "service", routes)); });
        auto gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
        fixture.setMode(0, ServerMode::Fails);
        auto failed = false; // whether the failing server ran a request
        for (int i = 0; i < 20 && !failed; ++i) {
            auto id = row.kind + std::to_string(i);
            auto before = fixture.thread.call([&] { return fixture.servers[0]->arrivals(); });
            auto status = gateway->call(requestBytes("GET", row.target, id)).status;
            failed = fixture.thread.call([&] { return fixture.servers[0]->arrivals(); }) > before;
            CHECK(status == (failed ? row.status : 200));
            CHECK(fixture.runs.runs(id) == (failed ? row.runs : 1));
        }
        CHECK(failed);
    }
}

// Guards against requests to a server that said it is leaving, or asked for a pause, after its registry row lapsed and returned.
TEST_CASE("What a server said of itself holds although its row lapses and returns")
{
    struct LapseCase {
        std::string name;
        bool leaves; // else it asks for a pause
        std::chrono::milliseconds work; // for the request that it answers so; the row lapses meanwhile, or after the answer
    };
    const LapseCase lapses[] = {
        { "it says that it is leaving after the row has returned", true, std::chrono::milliseconds(900) },
        { "it said that it is leaving before the row lapsed", true, std::chrono::milliseconds(10) },
        { "it asked for a pause before the row lapsed", false, std::chrono::milliseconds(10) },
    };
    for (const auto& row : lapses) {
        CAPTURE(row.name);
        GatewayFixture fixture(1);
        auto gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
        auto registered = [&](int servers) {
            return eventually([&] { return RunningGateway::get(gateway->daemon().metricsAddress(), "/metrics").body.find("cowslipledge_backend_servers " + std::to_string(servers) + "\n") != std::string::npos; });
        };
        fixture.thread.call([&] {
            fixture.servers[0]->setWork(row.work);
            fixture.servers[0]->setRetryAfter("5");
        });
        if (row.leaves)
            fixture.thread.call([&] { fixture.servers[0]->setLeavingTarget("/once/x"); });
        else
            fixture.setMode(0, ServerMode::Pauses);
        std::thread caller([&] { call(*gateway, "POST", "/once/x"); });
        REQUIRE(eventually([&] { return fixture.thread.call([&] { return fixture.servers[0]->arrivals() > 0; }); }));
        auto isLateAnswer = row.work > std::chrono::milliseconds(100);
        if (!isLateAnswer)
            caller.join();
        fixture.thread.call([&] { fixture.store->remove(Names::registryTable, "server-1"); });
        CHECK(registered(0));
        fixture.thread.call([&] { fixture.store->put(Names::registryTable, "server-1", fixture.servers[0]->registryValue()); });
        CHECK(registered(1));
        if (isLateAnswer)
            caller.join();
        fixture.setMode(0, ServerMode::Serving);
        auto before = contacts(fixture, 0);
        for (int i = 0; i < 5; ++i)
            CHECK(call(*gateway) == 503);
        CHECK(contacts(fixture, 0) == before);
    }
}
