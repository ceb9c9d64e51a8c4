#include "GatewayFixture.h"

#include <doctest/doctest.h>

// Evacuation of failure domains by the operators.

namespace {

using PlatformStandIn::ServerMode;
using UnitTests::eventually;
using UnitTests::GatewayFixture;
using UnitTests::requestBytes;
using UnitTests::RunningGateway;
namespace Names = PlatformAdapter::Names;

int contacts(GatewayFixture& fixture, std::size_t server)
{
    return fixture.thread.call([&] { return fixture.servers[server]->arrivals() + fixture.servers[server]->loadProbes(); });
}

int call(RunningGateway& gateway, const std::string& id, const std::string& target = "/safe/x")
{
    return gateway.call(requestBytes("GET", target, id)).status;
}

bool hasMetric(RunningGateway& gateway, const std::string& line)
{
    return RunningGateway::get(gateway.daemon().metricsAddress(), "/metrics").body.find("cowslipledge_" + line + "\n") != std::string::npos;
}

// Adds a server of another failure domain than "a".
void addServer(GatewayFixture& fixture, const std::string& id, const std::string& domain)
{
    fixture.thread.call([&] {
        fixture.servers.push_back(std::make_unique<PlatformStandIn::Server>(fixture.thread.loop(), fixture.runs, PlatformStandIn::ServerOptions { .id = id, .failureDomain = domain }));
        fixture.store->put(Names::registryTable, id, fixture.servers.back()->registryValue());
    });
}

void evacuate(GatewayFixture& fixture, const std::string& domain)
{
    fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::evacuationPrefix + domain, "{}"); });
}

void restore(GatewayFixture& fixture, const std::string& domain)
{
    fixture.thread.call([&] { fixture.store->remove(Names::operatorTable, Names::evacuationPrefix + domain); });
}

}

// Guards against requests and load probes to servers that the operators are about to take down.
TEST_CASE("While a failure domain is evacuated, its servers get nothing new, and requests in flight go on")
{
    GatewayFixture fixture(1);
    addServer(fixture, "server-2", "b");
    fixture.thread.call([&] { fixture.servers[0]->setWork(std::chrono::milliseconds(600)); });
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    REQUIRE(eventually([&] { return hasMetric(*gateway, "backend_servers 2"); }));
    // One that may not be repeated is under way at the domain's server.
    UnitTests::CallerConnection caller(gateway->daemon().callersAddress());
    caller.send(requestBytes("GET", "/once/x", "in-flight"));
    REQUIRE(eventually([&] { return fixture.runs.runs("in-flight") == 1; }));
    auto isAtFirst = fixture.thread.call([&] { return fixture.servers[0]->arrivals() == 1; });
    REQUIRE(isAtFirst);
    auto start = std::chrono::steady_clock::now();
    evacuate(fixture, "a");
    REQUIRE(eventually([&] { return hasMetric(*gateway, "evacuated_domains 1"); }));
    auto tookMs = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
    MESSAGE("evacuated after " << tookMs << " ms");
    CHECK(tookMs < 2000);
    auto before = contacts(fixture, 0);
    for (int i = 0; i < 20; ++i)
        CHECK(call(*gateway, "e" + std::to_string(i)) == 200);
    CHECK(caller.receive().status == 200);
    CHECK(fixture.runs.runs("in-flight") == 1);
    // Also if the servers left are no good.
    fixture.setMode(1, ServerMode::Fails);
    call(*gateway, "failing");
    fixture.setMode(1, ServerMode::Serving);
    // A server that is registered there meanwhile gets nothing either.
    addServer(fixture, "server-3", "a");
    REQUIRE(eventually([&] { return hasMetric(*gateway, "backend_servers 3"); }));
    for (int i = 0; i < 20; ++i)
        call(*gateway, "f" + std::to_string(i));
    CHECK(contacts(fixture, 0) == before);
    CHECK(contacts(fixture, 2) == 0);
    restore(fixture, "a");
    REQUIRE(eventually([&] { return hasMetric(*gateway, "evacuated_domains 0"); }));
    // So that there is a reason to use it.
    fixture.thread.call([&] { fixture.servers[0]->setWork(std::chrono::milliseconds(10)); });
    fixture.setMode(1, ServerMode::Sheds);
    fixture.setMode(2, ServerMode::Sheds);
    CHECK(eventually([&] { return call(*gateway, "r") == 200 && contacts(fixture, 0) > before; }));
}

// Guards against requests that run, or wait for their deadline, when nothing may be used.
TEST_CASE("If every failure domain is evacuated, requests are refused with 503 and have not run")
{
    GatewayFixture fixture(2);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    evacuate(fixture, "a");
    REQUIRE(eventually([&] { return hasMetric(*gateway, "evacuated_domains 1"); }));
    auto before = contacts(fixture, 0) + contacts(fixture, 1);
    for (const auto* target : { "/safe/x", "/once/x" }) {
        auto start = std::chrono::steady_clock::now();
        auto response = gateway->call(requestBytes("GET", target, "refused"));
        CHECK(response.status == 503);
        CHECK(Net::findHeader(response.headers, Names::retryAfter));
        CHECK((std::chrono::steady_clock::now() - start < std::chrono::milliseconds(500)));
    }
    CHECK(fixture.runs.runs("refused") == 0);
    CHECK(contacts(fixture, 0) + contacts(fixture, 1) == before);
    restore(fixture, "a");
    CHECK(eventually([&] { return call(*gateway, "back") == 200; }));
}

// Guards against an operator's misspelt name that takes servers out of service or is not noticed.
TEST_CASE("Only the exact name of a failure domain evacuates it")
{
    GatewayFixture fixture(1);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    for (const auto* domain : { "A", "aa", "", "a/", " a" })
        evacuate(fixture, domain);
    evacuate(fixture, "last");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    CHECK(hasMetric(*gateway, "evacuated_domains 0"));
    CHECK(call(*gateway, "served") == 200);
}

// Guards against gateways that learn of an evacuation from a relay and miss it, or drop it when the relay ends.
TEST_CASE("An evacuation reaches gateways that do not read the store, and holds when the one that reads it stops")
{
    GatewayFixture fixture(1);
    addServer(fixture, "server-2", "b");
    const std::string controls[] = { "127.0.0.1:18701", "127.0.0.1:18702", "127.0.0.1:18703" };
    std::vector<std::unique_ptr<RunningGateway>> gateways;
    for (const auto& control : controls)
        gateways.push_back(fixture.gateway({ controls[0], controls[1] }, control));
    for (auto& gateway : gateways)
        REQUIRE(gateway->waitReady());
    evacuate(fixture, "a");
    for (auto& gateway : gateways)
        CHECK(eventually([&] { return hasMetric(*gateway, "evacuated_domains 1"); }));
    auto before = contacts(fixture, 0);
    auto reader = std::find_if(gateways.begin(), gateways.end(), [](auto& it) { return hasMetric(*it, "reading_store 1"); });
    REQUIRE(reader != gateways.end());
    gateways.erase(reader);
    for (int i = 0; i < 30; ++i) {
        for (auto& gateway : gateways) {
            CHECK(call(*gateway, "g" + std::to_string(i)) == 200);
            CHECK(hasMetric(*gateway, "evacuated_domains 1"));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    CHECK(contacts(fixture, 0) == before);
    restore(fixture, "a");
    for (auto& gateway : gateways)
        CHECK(eventually([&] { return hasMetric(*gateway, "evacuated_domains 0"); }));
}
