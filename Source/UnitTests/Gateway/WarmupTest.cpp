#include "GatewayFixture.h"

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
