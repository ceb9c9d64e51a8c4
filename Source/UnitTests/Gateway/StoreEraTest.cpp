#include "GatewayFixture.h"

#include <doctest/doctest.h>

#include "Gateway/RelayMessages.h"

// The store comes back from a copy some seconds old: what was written since is gone, and versions are given out again.

namespace {

using UnitTests::eventually;
using UnitTests::GatewayFixture;
using UnitTests::requestBytes;
using UnitTests::RunningGateway;
namespace Names = PlatformAdapter::Names;

// A route added by configuration `version` under "/v<version>/".
std::string configuration(int version)
{
    auto name = "v" + std::to_string(version);
    return PlatformStandIn::configurationValue(version, "service",
        ",\"" + name + R"(":{"host":"host.example","prefix":"/)" + name
            + R"(/","route_type":"safe","timeout_ms":1000,"target_latency_ms":300,"priority":1,"service":"service","max_attempts":2})");
}

void putConfiguration(GatewayFixture& fixture, int version)
{
    fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, configuration(version)); });
}

void putServer(GatewayFixture& fixture, std::size_t index, bool draining = false, int startedMs = 1)
{
    fixture.thread.call([&] {
        auto& server = *fixture.servers[index];
        fixture.store->put(Names::registryTable, server.options().id, server.registryValue(draining, startedMs));
    });
}

int statusOf(RunningGateway& gateway, const std::string& target)
{
    static std::atomic<int> number = 0;
    return gateway.call(requestBytes("GET", target, "e" + std::to_string(++number))).status;
}

bool serves(RunningGateway& gateway, const std::string& target)
{
    return statusOf(gateway, target) == 200;
}

int contacts(GatewayFixture& fixture, std::size_t server)
{
    return fixture.thread.call([&] { return fixture.servers[server]->arrivals() + fixture.servers[server]->loadProbes(); });
}

std::string metrics(RunningGateway& gateway)
{
    return RunningGateway::get(gateway.daemon().metricsAddress(), "/metrics").body;
}

bool knowsServers(RunningGateway& gateway, int count)
{
    return metrics(gateway).find("cowslipledge_backend_servers " + std::to_string(count) + "\n") != std::string::npos;
}

// Writes until the store's version is far beyond that of the copy.
void growVersion(GatewayFixture& fixture)
{
    fixture.thread.call([&] {
        for (int i = 0; i < 100; ++i)
            fixture.store->put(Names::registryTable, "server-1", fixture.servers[0]->registryValue());
    });
}

}

TEST_CASE("After the store was restored from a copy, the configuration in force stays, and later ones are applied")
{
    GatewayFixture fixture(1);
    putConfiguration(fixture, 4);
    fixture.thread.call([&] { fixture.store->saveCopy(); });
    growVersion(fixture);
    putConfiguration(fixture, 5);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    REQUIRE(serves(*gateway, "/v5/x"));
    fixture.thread.call([&] { fixture.store->restoreCopy(); });
    for (int i = 0; i < 15; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        CHECK(serves(*gateway, "/v5/x"));
    }
    putConfiguration(fixture, 6);
    auto begun = std::chrono::steady_clock::now();
    CHECK(eventually([&] { return serves(*gateway, "/v6/x"); }));
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(2000));
}

struct CopyCase {
    std::string what;
    bool drains; // after the copy was made; otherwise the row is removed
};

const CopyCase copyCases[] = { { "removed after the copy was made", false }, { "draining since the copy was made", true } };

TEST_CASE("A server that left after the copy was made is not used again until it says that it lives")
{
    for (const auto& row : copyCases) {
        CAPTURE(row.what);
        GatewayFixture fixture(2);
        fixture.thread.call([&] { fixture.store->saveCopy(); });
        growVersion(fixture);
        auto gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
        if (row.drains)
            putServer(fixture, 1, true);
        else
            fixture.thread.call([&] { fixture.store->remove(Names::registryTable, "server-2"); });
        std::this_thread::sleep_for(std::chrono::milliseconds(2000)); // the operators' bound for registry changes to take effect
        auto before = contacts(fixture, 1);
        fixture.thread.call([&] { fixture.store->restoreCopy(); });
        for (int i = 0; i < 25; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            CHECK(statusOf(*gateway, "/safe/x") == 200);
        }
        CHECK(contacts(fixture, 1) == before);
        putServer(fixture, 1);
        fixture.setMode(0, PlatformStandIn::ServerMode::Sheds); // so that there is a reason to use it
        CHECK(eventually([&] { return serves(*gateway, "/safe/x") && contacts(fixture, 1) > before; }));
    }
}

TEST_CASE("A server that is missing in the copy is kept until it has had time to register again")
{
    GatewayFixture fixture(2);
    fixture.thread.call([&] {
        fixture.store->remove(Names::registryTable, "server-2");
        fixture.store->saveCopy();
    });
    growVersion(fixture);
    putServer(fixture, 1);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    REQUIRE(eventually([&] { return knowsServers(*gateway, 2); }));
    fixture.thread.call([&] { fixture.store->restoreCopy(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(1700));
    CHECK(knowsServers(*gateway, 2));
    SUBCASE("it registers again")
    {
        putServer(fixture, 1);
        std::this_thread::sleep_for(std::chrono::milliseconds(2500));
        CHECK(knowsServers(*gateway, 2));
    }
    SUBCASE("it does not")
    {
        CHECK(eventually([&] { return knowsServers(*gateway, 1); }));
    }
}

TEST_CASE("In a fleet, a new era reaches every gateway, and the relay list is written anew")
{
    GatewayFixture fixture(1);
    std::vector<std::string> controls { "127.0.0.1:18321", "127.0.0.1:18322", "127.0.0.1:18323" };
    // The copy holds a relay list of gateways that are gone.
    fixture.thread.call([&] {
        fixture.store->put("gateway", "relays", R"({"relays":["127.0.0.1:18328","127.0.0.1:18329"]})");
        fixture.store->saveCopy();
    });
    growVersion(fixture);
    std::vector<std::unique_ptr<RunningGateway>> gateways;
    for (const auto& control : controls)
        gateways.push_back(fixture.gateway({ controls[0], controls[1] }, control));
    for (auto& gateway : gateways)
        REQUIRE(gateway->waitReady());
    auto list = [&] { return fixture.thread.call([&] { return fixture.store->value("gateway", "relays"); }); };
    REQUIRE(eventually([&] { return list().find("18329") == std::string::npos; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(4000));
    auto before = list();
    fixture.thread.call([&] { fixture.store->restoreCopy(); });
    CHECK(eventually([&] { return list() == before; }));
    putConfiguration(fixture, 7);
    auto begun = std::chrono::steady_clock::now();
    for (auto& gateway : gateways)
        CHECK(eventually([&] { return serves(*gateway, "/v7/x"); }));
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(2000));
}

struct HeaderCase {
    std::string what;
    std::string era; // sent from then on; empty: no header
    bool applies; // whether a configuration written then is applied
};

const HeaderCase headerCases[] = {
    { "no header: the era that was known", "", true },
    { "no number: the answer is not used", "seven", false },
    { "too large a number: the answer is not used", "99999999999999999999", false },
    { "an older era: the answer is not used", "3", false },
    { "the same era", "5", true },
    { "the next era", "6", true },
};

TEST_CASE("Unusual values of the store's era")
{
    for (const auto& row : headerCases) {
        CAPTURE(row.what);
        GatewayFixture fixture(1);
        fixture.thread.call([&] { fixture.store->overrideEra("5"); });
        auto gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
        fixture.thread.call([&] { fixture.store->overrideEra(row.era); });
        putConfiguration(fixture, 2);
        if (row.applies) {
            CHECK(eventually([&] { return serves(*gateway, "/v2/x"); }));
            continue;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1200));
        CHECK(!serves(*gateway, "/v2/x"));
        CHECK(serves(*gateway, "/safe/x"));
        fixture.thread.call([&] { fixture.store->overrideEra("5"); });
        CHECK(eventually([&] { return serves(*gateway, "/v2/x"); }));
    }
}

TEST_CASE("Messages between gateways carry eras; those of older versions have none")
{
    Gateway::UpdateRequest request;
    request.position = { .era = 3, .registry = 40, .operators = 30 };
    request.relayList = { .relays = { "a" }, .version = 9, .era = 3 };
    auto text = toText(request);
    auto parsed = Gateway::parseUpdateRequest(text);
    REQUIRE(parsed);
    CHECK((parsed.value().position == request.position));
    CHECK(parsed.value().relayList.era == 3);
    for (const std::string field : { "\"era\":3,", "\"roster_era\":3," }) {
        auto at = text.find(field);
        REQUIRE(at != std::string::npos);
        text.erase(at, field.size());
    }
    auto older = Gateway::parseUpdateRequest(text);
    REQUIRE(older);
    CHECK(older.value().position.era == 0);
    CHECK(older.value().position.registry == 40);
    CHECK(older.value().relayList.era == 0);
}
