#include "FakeRelay.h"
#include "GatewayFixture.h"

#include <doctest/doctest.h>

namespace {

using PlatformStandIn::StoreMode;
using UnitTests::eventually;
using UnitTests::FakeRelay;
using UnitTests::GatewayFixture;
using UnitTests::RelayAnswer;
using UnitTests::requestBytes;
using UnitTests::RunningGateway;
namespace Names = PlatformAdapter::Names;

// The operators' bound on the time from the end of an outage of the store until every gateway goes by its data again.
constexpr auto recoveryBound = std::chrono::seconds(3);

const char* const addedRoute = R"(,"added":{"host":"host.example","prefix":"/added/","route_type":"safe","timeout_ms":1000,"target_latency_ms":300,"priority":1,"service":"service","max_attempts":2})";

bool serves(RunningGateway& gateway, const std::string& target)
{
    static std::atomic<int> number = 0;
    return gateway.call(requestBytes("GET", target, "r" + std::to_string(++number))).status == 200;
}

struct OutageCase {
    std::string name;
    StoreMode outage = StoreMode::Silent;
    RelayAnswer relay = RelayAnswer::NoRelay; // from the start of the outage on
    std::chrono::milliseconds length {}; // then until the next call of the store
};

// A relay that is destroyed on the loop's thread.
auto makeRelay(GatewayFixture& fixture, int members)
{
    auto destroy = [&fixture](FakeRelay* relay) { fixture.thread.call([&] { delete relay; }); };
    auto* relay = fixture.thread.call([&] { return std::make_unique<FakeRelay>(fixture.thread.loop(), *fixture.store, members).release(); });
    return std::unique_ptr<FakeRelay, decltype(destroy)>(relay, destroy);
}

std::string metrics(RunningGateway& gateway)
{
    return RunningGateway::get(gateway.daemon().metricsAddress(), "/metrics").body;
}

double gauge(RunningGateway& gateway, const std::string& name)
{
    auto page = metrics(gateway);
    auto at = page.find("\ncowslipledge_" + name + " ");
    return at == std::string::npos ? -1 : std::stod(page.substr(page.find(' ', at)));
}

Common::Hooks lastInRandomOrders()
{
    auto hooks = Common::systemHooks();
    hooks.random = [] { return ~std::uint64_t(0); };
    return hooks;
}

// Two gateways with more processor share than others, where nobody listens.
std::vector<Gateway::Member> unreachableCandidates()
{
    return { { .control = "127.0.0.1:1", .callers = "127.0.0.1:2", .failureDomain = "a", .capacity = 1 },
        { .control = "127.0.0.1:3", .callers = "127.0.0.1:4", .failureDomain = "a", .capacity = 1 } };
}

// The same with the reserve candidates behind them, so that a small gateway is no candidate of either kind.
std::vector<Gateway::Member> allCandidatesUnreachable()
{
    auto members = unreachableCandidates();
    for (const auto* control : { "127.0.0.1:5", "127.0.0.1:7", "127.0.0.1:9", "127.0.0.1:11" })
        members.push_back({ .control = control, .callers = control, .failureDomain = "a", .capacity = 0.5 });
    return members;
}

// A fleet that counts as large: two gateways with much processor share, all others with little.
class LargeFleet {
public:
    explicit LargeFleet(GatewayFixture& fixture, int size = 218, int firstPort = 18500)
    {
        constexpr int largeGateways = 2;
        std::vector<std::string> seeds;
        for (int i = 0; i < size; ++i) {
            auto control = "127.0.0.1:" + std::to_string(firstPort + i);
            if (i < 3)
                seeds.push_back(control);
            auto settings = RunningGateway::settings(fixture.storeAddress(), seeds, control, Common::LogFormat::Off);
            settings.callers = "127.0.0.1:" + std::to_string(firstPort + size + i);
            settings.capacity = i < largeGateways ? 0.5 : 0.07;
            gateways.push_back(std::make_unique<RunningGateway>(settings));
        }
    }

    // Waits until all gateways get their data from the two relays in the list.
    bool waitSettled()
    {
        // A busy machine takes longer than eventually() waits to start 218 gateways in one process.
        constexpr int maxWaits = 4;
        auto isSettled = [&] {
            auto list = gauge(*gateways.front(), "relay_list_version");
            return std::all_of(gateways.begin(), gateways.end(), [&](auto& it) { return gauge(*it, "relay_list_version") == list; })
                && std::count_if(gateways.begin(), gateways.end(), [&](auto& it) { return gauge(*it, "reading_store") == 1; }) == 1;
        };
        for (int i = 0; i < maxWaits; ++i) {
            if (eventually(isSettled))
                return true;
        }
        return false;
    }

    std::vector<std::unique_ptr<RunningGateway>> gateways;
};

const OutageCase outageCases[] = {
    { "silent store, the relay has no data", StoreMode::Silent, RelayAnswer::NoRelay, std::chrono::milliseconds(7000) },
    { "silent store, the relay has old data", StoreMode::Silent, RelayAnswer::Outdated, std::chrono::milliseconds(7000) },
    { "busy store, the relay has no data", StoreMode::Busy, RelayAnswer::NoRelay, std::chrono::milliseconds(7000) },
};

}

// Guards against a pause between two reads of the store that outlives the outage.
TEST_CASE("A follower of a relay without recent data applies a change within 3 s of the end of an outage of the store")
{
    for (const auto& row : outageCases) {
        CAPTURE(row.name);
        GatewayFixture fixture(1);
        auto relay = makeRelay(fixture, 3);
        auto gateway = fixture.gateway({ relay->address() });
        REQUIRE(gateway->waitReady());
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        fixture.thread.call([&] {
            fixture.store->setMode(row.outage);
            relay->setAnswer(row.relay);
        });
        std::this_thread::sleep_for(row.length);
        // The worst moment for the outage to end is just after it has swallowed a call.
        auto calls = fixture.store->calls();
        REQUIRE(eventually([&] { return fixture.store->calls() > calls; }));
        fixture.thread.call([&] {
            fixture.store->setMode(StoreMode::Serving);
            fixture.store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(2, "service", addedRoute));
        });
        auto ended = std::chrono::steady_clock::now();
        REQUIRE(eventually([&] { return serves(*gateway, "/added/x"); }));
        CHECK(std::chrono::steady_clock::now() - ended < recoveryBound);
        gateway.reset();
    }
}

// Guards against a call that waits for the next configuration and is lost alone, while other reads of the store are answered.
TEST_CASE("A change is applied within 3 s of the loss of the call that waits for it")
{
    GatewayFixture fixture(1);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    auto putVersion = [&](int version) {
        fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(version, "service", addedRoute)); });
    };
    std::this_thread::sleep_for(std::chrono::milliseconds(2500)); // the gateway has become the leader
    putVersion(2);
    REQUIRE(eventually([&] { return gauge(*gateway, "configuration_version") == 2; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50)); // the next call has begun
    fixture.thread.call([&] {
        fixture.store->setMode(StoreMode::Silent);
        fixture.store->setMode(StoreMode::Serving);
    });
    putVersion(3);
    auto lost = std::chrono::steady_clock::now();
    REQUIRE(eventually([&] { return gauge(*gateway, "configuration_version") == 3; }));
    CHECK(std::chrono::steady_clock::now() - lost < recoveryBound);
}

// Guards against gateways that replace working relays as soon as the store answers them, and followers that get their data from
// none of them.
TEST_CASE("After an outage of the store a large fleet keeps its relays, and all apply a change within 3 s of its end")
{
    GatewayFixture fixture(1);
    LargeFleet fleet(fixture);
    for (auto& gateway : fleet.gateways)
        REQUIRE(gateway->waitReady());
    REQUIRE(fleet.waitSettled());
    std::this_thread::sleep_for(std::chrono::milliseconds(4000)); // the time in which a standby is appointed
    REQUIRE(fleet.waitSettled());
    auto relays = fixture.thread.call([&] { return fixture.store->value("gateway", "relays"); });
    CAPTURE(relays);
    fixture.thread.call([&] { fixture.store->setMode(StoreMode::Silent); });
    std::this_thread::sleep_for(std::chrono::milliseconds(2800));
    fixture.thread.call([&] {
        fixture.store->setMode(StoreMode::Serving);
        fixture.store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(2, "service", addedRoute));
    });
    auto ended = std::chrono::steady_clock::now();
    for (auto& gateway : fleet.gateways)
        CHECK(eventually([&] { return gauge(*gateway, "configuration_version") == 2; }));
    CHECK(std::chrono::steady_clock::now() - ended < recoveryBound);
    std::this_thread::sleep_until(ended + std::chrono::seconds(4));
    CHECK(fixture.thread.call([&] { return fixture.store->value("gateway", "relays"); }) == relays);
}

// Guards against gateways of a large fleet that all read the store in an outage, since they take a relay that holds their request
// open for one that does not answer.
TEST_CASE("A relay without recent data counts as answering while it holds a request open")
{
    GatewayFixture fixture(1);
    constexpr int members = 300;
    auto relay = makeRelay(fixture, members);
    fixture.thread.call([&] { relay->setKnownMembers(allCandidatesUnreachable()); });
    auto settings = RunningGateway::settings(fixture.storeAddress(), { relay->address() }, "127.0.0.1:0", Common::LogFormat::Off);
    settings.capacity = 0.07;
    RunningGateway gateway(settings, -1, lastInRandomOrders());
    REQUIRE(gateway.waitReady());
    REQUIRE(eventually([&] { return gauge(gateway, "relay_list_version") > 0 && gauge(gateway, "relayed") == 1 && gauge(gateway, "reading_store") == 0; }));
    fixture.thread.call([&] { relay->setAnswer(RelayAnswer::Outdated); });
    auto before = fixture.store->calls();
    std::this_thread::sleep_for(std::chrono::seconds(5));
    CHECK(fixture.store->calls() == before);
}

// Guards against two gateways that take the lead from each other again and again, so that no relay is followed.
TEST_CASE("A leader that another gateway has replaced leaves it time to answer before it takes the lead again")
{
    GatewayFixture fixture(1);
    auto control = std::string("127.0.0.1:18391");
    auto gateway = fixture.gateway({ control }, control);
    REQUIRE(gateway->waitReady());
    REQUIRE(eventually([&] { return !fixture.thread.call([&] { return fixture.store->value("gateway", "relays"); }).empty(); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    auto relay = makeRelay(fixture, 2);
    fixture.thread.call([&] { relay->setDelay(std::chrono::milliseconds(450)); });
    auto list = fixture.thread.call([&] { return fixture.store->value("gateway", "relays"); });
    fixture.thread.call([&] { relay->announceTo(control); });
    REQUIRE(eventually([&] { return gauge(*gateway, "relayed") == 1; }));
    CHECK(fixture.thread.call([&] { return fixture.store->value("gateway", "relays"); }) == list);
}

// Guards against a follower that stays with a relay that answers, has no recent data and does not learn of its successor.
TEST_CASE("A follower in a large fleet gets changes from a preferred candidate while its relays have no recent data")
{
    GatewayFixture fixture(1);
    constexpr int members = 300;
    auto relay = makeRelay(fixture, members);
    std::vector<std::string> seeds { relay->address() };
    auto settings = RunningGateway::settings(fixture.storeAddress(), seeds, "127.0.0.1:18393", Common::LogFormat::Off);
    RunningGateway candidate(settings);
    settings.control = "127.0.0.1:18394";
    settings.callers = "127.0.0.1:18414";
    settings.capacity = 0.07;
    fixture.thread.call([&] {
        auto known = unreachableCandidates();
        known.front().control = "127.0.0.1:18393";
        relay->setKnownMembers(known);
    });
    RunningGateway follower(settings, -1, lastInRandomOrders());
    REQUIRE(candidate.waitReady());
    REQUIRE(follower.waitReady());
    std::this_thread::sleep_for(std::chrono::seconds(5)); // starting gateways read by rules of their own
    REQUIRE(eventually([&] { return gauge(follower, "relayed") == 1 && gauge(follower, "reading_store") == 0; }));
    fixture.thread.call([&] { relay->setAnswer(RelayAnswer::NoRelay); });
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(2, "service", addedRoute)); });
    auto confirmed = std::chrono::steady_clock::now();
    CHECK(eventually([&] { return gauge(follower, "configuration_version") == 2; }));
    CHECK(std::chrono::steady_clock::now() - confirmed < std::chrono::milliseconds(settings.applyMs));
}

// Guards against a failure domain that gets no changes for seconds because the few gateways that watch the store for it have lost
// it, while the store serves others.
TEST_CASE("A follower in a large fleet gets changes in time though its relays and both preferred candidates have lost the store")
{
    GatewayFixture fixture(1);
    constexpr int members = 300;
    auto relay = makeRelay(fixture, members);
    std::vector<std::string> seeds { relay->address() };
    auto settings = RunningGateway::settings(fixture.storeAddress(), seeds, "127.0.0.1:18395", Common::LogFormat::Off);
    settings.capacity = 0.5;
    fixture.thread.call([&] {
        auto known = unreachableCandidates();
        known.push_back({ .control = "127.0.0.1:18395", .callers = "127.0.0.1:18415", .failureDomain = "a", .capacity = 0.5 });
        for (const auto* control : { "127.0.0.1:5", "127.0.0.1:7", "127.0.0.1:9" })
            known.push_back({ .control = control, .callers = control, .failureDomain = "a", .capacity = 0.3 });
        relay->setKnownMembers(known);
    });
    RunningGateway next(settings, -1, lastInRandomOrders());
    settings.control = "127.0.0.1:18396";
    settings.callers = "127.0.0.1:18416";
    settings.capacity = 0.07;
    RunningGateway follower(settings, -1, lastInRandomOrders());
    REQUIRE(next.waitReady());
    REQUIRE(follower.waitReady());
    std::this_thread::sleep_for(std::chrono::seconds(5)); // starting gateways read by rules of their own
    REQUIRE(eventually([&] { return gauge(follower, "relayed") == 1 && gauge(follower, "reading_store") == 0; }));
    REQUIRE(eventually([&] { return gauge(next, "relayed") == 1 && gauge(next, "reading_store") == 0; }));
    fixture.thread.call([&] { relay->setAnswer(RelayAnswer::NoRelay); });
    REQUIRE(eventually([&] { return gauge(follower, "relayed") == 0 && gauge(next, "relayed") == 0; }));
    fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(2, "service", addedRoute)); });
    auto confirmed = std::chrono::steady_clock::now();
    CHECK(eventually([&] { return gauge(follower, "configuration_version") == 2; }));
    CHECK(std::chrono::steady_clock::now() - confirmed < std::chrono::milliseconds(settings.applyMs));
    CHECK(gauge(follower, "reading_store") == 0); // the change came from the next candidate
}

// Guards against a standby that stops reading the store since it takes a leader that has just lost the store for a working one.
TEST_CASE("A gateway goes on reading the store while its relay has no recent data")
{
    GatewayFixture fixture(1);
    auto relay = makeRelay(fixture, 3);
    auto gateway = fixture.gateway({ relay->address() });
    REQUIRE(gateway->waitReady());
    std::this_thread::sleep_for(std::chrono::seconds(5)); // starting gateways read by rules of their own
    REQUIRE(eventually([&] { return gauge(*gateway, "relayed") == 1 && gauge(*gateway, "reading_store") == 0; }));
    fixture.thread.call([&] { relay->setAnswer(RelayAnswer::AlmostOutdated); });
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    fixture.thread.call([&] { relay->setAnswer(RelayAnswer::NoRelay); });
    auto calls = fixture.store->calls();
    REQUIRE(eventually([&] { return fixture.store->calls() > calls; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50)); // the read is answered
    for (auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2); std::chrono::steady_clock::now() < end;) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        REQUIRE(gauge(*gateway, "catalog_age_ms") < 1000); // the store is read every 600 ms
    }
    gateway.reset();
}
