#include "FleetFixture.h"

#include <doctest/doctest.h>

// Cold servers, which take a limited rate of requests until they are warm.

namespace {

using UnitTests::GatewayFixture;
using UnitTests::requestBytes;
using UnitTests::RunningGateway;
namespace Names = PlatformAdapter::Names;

int arrivals(GatewayFixture& fixture, std::size_t server)
{
    return fixture.thread.call([&] { return fixture.servers[server]->arrivals(); });
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

void setWarmupRate(GatewayFixture& fixture, const std::string& perSecond)
{
    auto value = replaced(PlatformStandIn::configurationValue(2, "service"), R"("tls":false)", R"("tls":false,"warmup_s":3.0,"warmup_per_s":)" + perSecond);
    fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, value); });
}

// Calls for `ms` milliseconds, about 100 a second. Returns how many of them the server at `index` got.
int load(GatewayFixture& fixture, RunningGateway& gateway, int ms, std::size_t index)
{
    static std::atomic<int> number = 0;
    auto before = arrivals(fixture, index);
    for (auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms); std::chrono::steady_clock::now() < end;) {
        gateway.call(requestBytes("GET", "/safe/x", "w" + std::to_string(++number)));
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return arrivals(fixture, index) - before;
}

struct ColdCase {
    std::string what;
    std::string rate; // of the service
    std::function<void(GatewayFixture&)> becomesCold;
    bool isLimited;
};

const ColdCase coldCases[] = {
    { "by its answers", "2", [](auto& it) { it.servers[0]->setWarmupLeft("60000"); }, true },
    { "by a heartbeat", "2", [](auto& it) { it.store->put(Names::registryTable, "server-1", replaced(it.servers[0]->registryValue(), R"("warmup_left_ms":0)", R"("warmup_left_ms":60000)")); }, true },
    { "by a value that is no time", "2", [](auto& it) { it.servers[0]->setWarmupLeft("6e4"); }, false },
    { "without a rate of the service", "0", [](auto& it) { it.servers[0]->setWarmupLeft("60000"); }, false },
};

}

// Guards against a cold server that gets its usual share of the requests.
TEST_CASE("A server that becomes cold gets its service's warm-up rate, however it tells, also if there is no other")
{
    for (const auto& row : coldCases) {
        CAPTURE(row.what);
        GatewayFixture fixture(2);
        setWarmupRate(fixture, row.rate);
        auto gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
        REQUIRE(load(fixture, *gateway, 500, 0) > 0);
        fixture.thread.call([&] { row.becomesCold(fixture); });
        load(fixture, *gateway, 2500, 0); // the gateway learns of it
        // Without this, the other one would be preferred to a cold server whatever its rate.
        fixture.setMode(1, PlatformStandIn::ServerMode::Sheds);
        auto limited = load(fixture, *gateway, 2000, 0);
        MESSAGE(row.what << ": " << limited << " requests in 2 s");
        CHECK((limited <= 5) == row.isLimited);
    }
}

namespace {

struct WarmCase {
    std::string what;
    std::function<void(GatewayFixture&)> becomesCold;
    std::function<void(GatewayFixture&)> afterwards;
    bool isLimited; // afterwards
};

using PlatformStandIn::ResponseKind;

const WarmCase warmCases[] = {
    { "all answers, then none", [](auto& it) { it.servers[0]->setWarmupLeft("60000"); }, [](auto& it) { it.servers[0]->setWarmupLeft({}); }, false },
    { "all answers, then with no time left", [](auto& it) { it.servers[0]->setWarmupLeft("60000"); }, [](auto& it) { it.servers[0]->setWarmupLeft("0"); }, false },
    { "answers to load probes alone, then none", [](auto& it) { it.servers[0]->setWarmupLeft("60000", ResponseKind::ToProbes); }, [](auto& it) { it.servers[0]->setWarmupLeft({}); }, false },
    { "answers to requests alone, then none", [](auto& it) { it.servers[0]->setWarmupLeft("60000", ResponseKind::ToRequests); }, [](auto& it) { it.servers[0]->setWarmupLeft({}); }, false },
    { "the registry, no answer ever", [](auto& it) { it.store->put(Names::registryTable, "server-1", replaced(it.store->value(Names::registryTable, "server-1"), R"("warmup_left_ms":0)", R"("warmup_left_ms":60000)")); }, [](auto&) {}, true },
};

// Calls to both gateways of the fleet in turn for `ms` milliseconds. Returns how many the first server got.
int loadFleet(UnitTests::Fleet& fleet, int ms)
{
    static std::atomic<int> number = 0;
    auto before = arrivals(fleet.fixture(), 0);
    for (auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms); std::chrono::steady_clock::now() < end;) {
        auto n = ++number;
        fleet.gateway(n % 2).call(requestBytes("GET", "/safe/x", "f" + std::to_string(n)));
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return arrivals(fleet.fixture(), 0) - before;
}

// Gateways of the fleet that take the first server for cold.
int gatewaysThatWarm(UnitTests::Fleet& fleet)
{
    return UnitTests::Fleet::metric(fleet.gateway(0), "warming_servers").value_or(0) + UnitTests::Fleet::metric(fleet.gateway(1), "warming_servers").value_or(0);
}

}

// Guards against a cold server that gets its usual share since answers of one kind leave out what those of another kind tell, and against one that
// stays limited when it is warm.
TEST_CASE("A server's warm-up ends when answers of a kind that told of it don't any more, and not before")
{
    constexpr int mostWhileCold = 42; // in 2 s, at 20 a second and one request in hand at each gateway
    constexpr int leastWhenWarm = 80;
    int port = 20700;
    for (const auto& row : warmCases) {
        CAPTURE(row.what);
        // With few load probes hardly any goes to a cold server, which ranks behind the other one.
        UnitTests::Fleet fleet(2, port, 2, [](auto& settings) { settings.probesPerServer = 1000; });
        port += 2;
        auto& fixture = fleet.fixture();
        setWarmupRate(fixture, "20");
        REQUIRE(fleet.waitReady());
        for (int i = 0; i < 2; ++i)
            REQUIRE(UnitTests::eventually([&] { return UnitTests::Fleet::metric(fleet.gateway(i), "configuration_version") == 2; }));
        REQUIRE(loadFleet(fleet, 500) > 0);
        fixture.thread.call([&] { row.becomesCold(fixture); });
        loadFleet(fleet, 2500); // the gateways learn of it
        fixture.setMode(1, PlatformStandIn::ServerMode::Sheds);
        // Long enough to see a gateway that takes the server for warm until the next answer.
        fixture.thread.call([&] { fixture.servers[0]->setWork(std::chrono::milliseconds(80)); });
        int cold = 0;
        int fewestThatKnow = 2;
        for (int i = 0; i < 40; ++i) {
            cold += loadFleet(fleet, 50);
            fewestThatKnow = std::min(fewestThatKnow, gatewaysThatWarm(fleet));
        }
        CHECK(fewestThatKnow == 2);
        fixture.thread.call([&] { fixture.servers[0]->setWork(std::chrono::milliseconds(10)); });
        fixture.thread.call([&] { row.afterwards(fixture); });
        loadFleet(fleet, 2500); // the gateways learn of it
        auto after = loadFleet(fleet, 2000);
        MESSAGE(row.what << ": " << cold << " requests in 2 s while cold, " << after << " afterwards");
        CHECK(gatewaysThatWarm(fleet) == (row.isLimited ? 2 : 0));
        CHECK(cold > 0);
        CHECK(cold <= mostWhileCold);
        if (row.isLimited)
            CHECK(after <= mostWhileCold);
        else
            CHECK(after >= leastWhenWarm);
    }
}
