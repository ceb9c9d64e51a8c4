#include "FakeRelay.h"
#include "GatewayFixture.h"

#include <doctest/doctest.h>

namespace {

using PlatformStandIn::StoreMode;
using UnitTests::eventually;
using UnitTests::GatewayFixture;
using UnitTests::requestBytes;
using UnitTests::RunningGateway;
namespace Names = PlatformAdapter::Names;

const char* const addedRoute = R"(,"added":{"host":"host.example","prefix":"/added/","route_type":"safe","timeout_ms":1000,"target_latency_ms":300,"priority":1,"service":"service","max_attempts":2})";

bool serves(RunningGateway& gateway, const std::string& target)
{
    static std::atomic<int> number = 0;
    return gateway.call(requestBytes("GET", target, "w" + std::to_string(++number))).status == 200;
}

}

TEST_CASE("A changed configuration is applied")
{
    GatewayFixture fixture(1);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    CHECK(!serves(*gateway, "/added/x"));
    fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(2, "service", addedRoute)); });
    CHECK(eventually([&] { return serves(*gateway, "/added/x"); }));
}

TEST_CASE("An older configuration and one that cannot be parsed are not applied")
{
    GatewayFixture fixture(1);
    fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(5, "service", addedRoute)); });
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    REQUIRE(serves(*gateway, "/added/x"));
    for (const auto& value : { PlatformStandIn::configurationValue(4, "service"), std::string("{\"version\":\"0000000"), std::string("\xff\xfe") }) {
        fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, value); });
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        CHECK(serves(*gateway, "/added/x"));
    }
}

// Guards against a change that comes late because the long-poll call for the next configuration was lost: the store dropped it
// without a response while it was silent, and the gateway kept waiting for it.
TEST_CASE("A change made when a silent store answers again is applied within 2.5 s")
{
    GatewayFixture fixture(1);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    fixture.thread.call([&] { fixture.store->setMode(StoreMode::Silent); });
    std::this_thread::sleep_for(std::chrono::milliseconds(3000));
    fixture.thread.call([&] {
        fixture.store->setMode(StoreMode::Serving);
        fixture.store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(2, "service", addedRoute));
    });
    auto begun = std::chrono::steady_clock::now();
    REQUIRE(eventually([&] { return serves(*gateway, "/added/x"); }));
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(2500));
}

// Guards against a call that was made in the last moments of an outage and is waited for long after its end.
TEST_CASE("A change made 0.7 s after a silent outage is applied within 2 s, at whatever moment of the gateway's calls it ended")
{
    constexpr int fleets = 8;
    constexpr auto shortestOutage = std::chrono::milliseconds(3000);
    constexpr auto step = std::chrono::milliseconds(90); // together about the interval between two calls
    constexpr auto changeDelay = std::chrono::milliseconds(700);
    constexpr auto applyLimit = std::chrono::milliseconds(2000);
    std::vector<std::unique_ptr<GatewayFixture>> fixtures;
    std::vector<std::unique_ptr<RunningGateway>> gateways;
    for (int i = 0; i < fleets; ++i) {
        fixtures.push_back(std::make_unique<GatewayFixture>(1));
        gateways.push_back(fixtures.back()->gateway());
    }
    for (auto& gateway : gateways)
        REQUIRE(gateway->waitReady());
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    for (auto& fixture : fixtures)
        fixture->thread.call([&] { fixture->store->setMode(StoreMode::Silent); });
    auto silent = std::chrono::steady_clock::now();
    std::vector<std::thread> runs;
    std::vector<Common::Duration> took(fleets, Common::Duration::max());
    for (std::size_t i = 0; i < fleets; ++i) {
        runs.emplace_back([&, i] {
            auto& fixture = *fixtures[i];
            std::this_thread::sleep_until(silent + shortestOutage + step * static_cast<int>(i));
            fixture.thread.call([&] { fixture.store->setMode(StoreMode::Serving); });
            std::this_thread::sleep_for(changeDelay);
            fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(2, "service", addedRoute)); });
            auto changed = std::chrono::steady_clock::now();
            if (eventually([&] { return serves(*gateways[i], "/added/x"); }))
                took[i] = std::chrono::steady_clock::now() - changed;
        });
    }
    for (auto& run : runs)
        run.join();
    for (std::size_t i = 0; i < fleets; ++i) {
        CAPTURE(i);
        CHECK(took[i] < applyLimit);
    }
    gateways.clear();
}

TEST_CASE("Without a store a gateway reports that it is not ready and rejects requests")
{
    GatewayFixture fixture(1);
    fixture.thread.call([&] { fixture.store->setMode(StoreMode::Busy); });
    auto gateway = fixture.gateway();
    CHECK(RunningGateway::get(gateway->daemon().readyAddress(), Names::readyPath).status == 503);
    auto response = gateway->call(requestBytes("GET", "/safe/x", "u1"));
    CHECK(response.status == 503);
    CHECK(Net::findHeader(response.headers, "Retry-After"));
    fixture.thread.call([&] { fixture.store->setMode(StoreMode::Serving); });
    CHECK(gateway->waitReady());
}

TEST_CASE("A store outage does not affect callers, and servers whose registry rows expired in it are not dropped at once")
{
    GatewayFixture fixture(1);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    REQUIRE(serves(*gateway, "/safe/x"));
    fixture.thread.call([&] { fixture.store->setMode(StoreMode::Busy); });
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    CHECK(serves(*gateway, "/safe/x"));
    // The row expired during the outage, and the server writes it again a second after the end of the outage.
    fixture.thread.call([&] {
        fixture.store->remove(Names::registryTable, "server-1");
        fixture.store->setMode(StoreMode::Serving);
    });
    for (int i = 0; i < 10; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        CHECK(serves(*gateway, "/safe/x"));
    }
    fixture.thread.call([&] { fixture.store->put(Names::registryTable, "server-1", fixture.servers[0]->registryValue()); });
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    CHECK(serves(*gateway, "/safe/x"));
}

TEST_CASE("A server whose registry row is still missing after the grace period is removed")
{
    GatewayFixture fixture(2);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    fixture.thread.call([&] { fixture.store->setMode(StoreMode::Busy); });
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    fixture.thread.call([&] {
        fixture.store->remove(Names::registryTable, "server-1");
        fixture.store->setMode(StoreMode::Serving);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(4500));
    auto before = fixture.thread.call([&] { return fixture.servers[0]->arrivals(); });
    for (int i = 0; i < 8; ++i)
        CHECK(serves(*gateway, "/safe/x"));
    CHECK(fixture.thread.call([&] { return fixture.servers[0]->arrivals(); }) == before);
}

TEST_CASE("If the store has discarded its change history, the tables are read in full")
{
    GatewayFixture fixture(2);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    fixture.thread.call([&] {
        fixture.store->remove(Names::registryTable, "server-1");
        fixture.store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(2, "service", addedRoute));
        fixture.store->expireHistory();
    });
    CHECK(eventually([&] { return serves(*gateway, "/added/x"); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    auto before = fixture.thread.call([&] { return fixture.servers[0]->arrivals(); });
    for (int i = 0; i < 8; ++i)
        CHECK(serves(*gateway, "/safe/x"));
    CHECK(fixture.thread.call([&] { return fixture.servers[0]->arrivals(); }) == before);
}

struct RowCase {
    std::string name;
    std::string value;
};

const RowCase rowCases[] = {
    { "truncated JSON", "{\"address\":" },
    { "binary data", std::string("\xff\x00\x01", 3) },
    { "no address", R"({"info":{"service":"service","version":"v1","zone":"a","slots":4},"status":{"state":"ready","sequence":1,"warmup_left_ms":0}})" },
    { "address as a number", R"({"address":7,"info":{"service":"service","version":"v1","zone":"a","slots":4},"status":{"state":"ready","sequence":1,"warmup_left_ms":0}})" },
    { "unknown state", R"({"address":"127.0.0.1:1","info":{"service":"service","version":"v1","zone":"a","slots":4},"status":{"state":"resting","sequence":1,"warmup_left_ms":0}})" },
    { "slots as a string", R"({"address":"127.0.0.1:1","info":{"service":"service","version":"v1","zone":"a","slots":"4"},"status":{"state":"ready","sequence":1,"warmup_left_ms":0}})" },
    { "warm-up time beyond all bounds", R"({"address":"127.0.0.1:1","info":{"service":"service","version":"v1","zone":"a","slots":4},"status":{"state":"ready","sequence":1,"warmup_left_ms":1e300}})" },
    { "start time with a fraction", R"({"address":"127.0.0.1:1","info":{"service":"service","version":"v1","zone":"a","slots":4},"status":{"state":"ready","sequence":1,"warmup_left_ms":0},"born":1.5})" },
};

TEST_CASE("A malformed registry row adds no server and does not affect others")
{
    GatewayFixture fixture(1);
    fixture.thread.call([&] {
        int i = 0;
        for (const auto& row : rowCases)
            fixture.store->put(Names::registryTable, "broken-" + std::to_string(++i), row.value);
    });
    for (const auto& row : rowCases) {
        CAPTURE(row.name);
        CHECK(!PlatformAdapter::binding().decoder.server("key", row.value));
    }
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    for (int i = 0; i < 5; ++i)
        CHECK(serves(*gateway, "/safe/x"));
    CHECK(RunningGateway::get(gateway->daemon().metricsAddress(), "/metrics").body.find("cowslipledge_backend_servers 1\n") != std::string::npos);
}

TEST_CASE("With three gateways, one reads the store for all, and a change reaches each of them")
{
    GatewayFixture fixture(1);
    std::vector<std::string> controls { "127.0.0.1:18301", "127.0.0.1:18302", "127.0.0.1:18303" };
    std::vector<std::unique_ptr<RunningGateway>> gateways;
    for (const auto& control : controls)
        gateways.push_back(fixture.gateway({ controls[0], controls[1] }, control));
    for (auto& gateway : gateways)
        REQUIRE(gateway->waitReady());
    // Until relays are elected, each gateway may have read the store once.
    std::this_thread::sleep_for(std::chrono::milliseconds(6000));
    auto before = fixture.thread.call([&] { return fixture.store->calls(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(3000));
    auto calls = fixture.thread.call([&] { return fixture.store->calls(); }) - before;
    CHECK(calls <= 8); // one gateway's reads of the registry and long-poll calls for the configuration
    fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(2, "service", addedRoute)); });
    auto begun = std::chrono::steady_clock::now();
    for (auto& gateway : gateways)
        CHECK(eventually([&] { return serves(*gateway, "/added/x"); }));
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(2000));
    auto directory = RunningGateway::get(gateways[2]->daemon().directoryAddress(), std::string(Names::directoryPath) + "?zone=a").body;
    for (const auto& gateway : gateways)
        CHECK(directory.find(gateway->daemon().callersAddress()) != std::string::npos);
}

// Guards against servers that a relay of an older version does not tell the removal of, and against a full catalog with each answer of it.
TEST_CASE("A relay that does not tell whether it knows all removals is asked for the full catalog once")
{
    GatewayFixture fixture(1);
    auto relay = fixture.thread.call([&] { return std::make_unique<UnitTests::FakeRelay>(fixture.thread.loop(), *fixture.store, 4); });
    auto fullRequests = [&] { return fixture.thread.call([&] { return relay->fullRequests(); }); };
    auto gateway = fixture.gateway({ relay->address() }, "127.0.0.1:18435");
    REQUIRE(gateway->waitReady());
    constexpr auto severalAnswers = std::chrono::milliseconds(1500);
    std::this_thread::sleep_for(severalAnswers);
    auto before = fullRequests();
    fixture.thread.call([&] {
        relay->setKnowsRemovals(false);
        relay->setAhead(true);
    });
    CHECK(eventually([&] { return fullRequests() == before + 1; }));
    std::this_thread::sleep_for(severalAnswers);
    CHECK(fullRequests() == before + 1);
    // The gateway at that address, now of this version.
    fixture.thread.call([&] { relay->setKnowsRemovals(true); });
    CHECK(eventually([&] { return fullRequests() == before + 2; }));
    std::this_thread::sleep_for(severalAnswers);
    CHECK(fullRequests() == before + 2);
    gateway.reset();
    fixture.thread.call([&] { relay.reset(); });
}

TEST_CASE("When the gateway that reads for the others stops, they still receive changes")
{
    GatewayFixture fixture(1);
    std::vector<std::string> controls { "127.0.0.1:18311", "127.0.0.1:18312", "127.0.0.1:18313" };
    std::vector<std::unique_ptr<RunningGateway>> gateways;
    for (const auto& control : controls)
        gateways.push_back(fixture.gateway({ controls[0], controls[1] }, control));
    for (auto& gateway : gateways)
        REQUIRE(gateway->waitReady());
    std::this_thread::sleep_for(std::chrono::milliseconds(5000));
    gateways.front().reset();
    fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(2, "service", addedRoute)); });
    auto begun = std::chrono::steady_clock::now();
    for (std::size_t i = 1; i < gateways.size(); ++i)
        CHECK(eventually([&] { return serves(*gateways[i], "/added/x"); }));
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(2500));
}
