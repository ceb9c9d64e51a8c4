#include "CatalogParts.h"

#include <doctest/doctest.h>

#include "Gateway/RelayMessages.h"

namespace {

const std::string registry = "registry";

Platform::TableRow row(const std::string& warmupLeftMs, std::uint64_t version)
{
    return { .table = registry, .key = "a", .value = warmupLeftMs, .version = version };
}

// The value of a row is the remaining warm-up of its server.
class WarmupCatalog : public UnitTests::CatalogParts {
public:
    WarmupCatalog()
        : CatalogParts({
            .registryTable = registry,
            .operatorTable = "operators",
            .configurationKey = "configuration",
            .server = [](const std::string& key, const std::string& value) -> Common::Result<Gateway::ServerRecord> {
                return Gateway::ServerRecord { .id = key, .service = "service", .address = "127.0.0.1:1", .failureDomain = "a", .slots = 1, .warmupLeftMs = std::stoi(value), .startedMs = 1 };
            },
            .configuration = [](const std::string&) { return Gateway::ConfigurationReading(); },
        })
    {
    }
    bool isCold() const { return backends.find("a")->signal(loop.now()).cold; }
};

struct HeartbeatCase {
    std::string before;
    std::string after;
    bool isPassedOn;
};

// The time stands still in this test.
const HeartbeatCase heartbeatCases[] = {
    { "0", "0", false },
    { "3000", "1500", false },
    { "3000", "0", false },
    { "3000", "3900", false }, // read later than the one before
    { "0", "1", true },
    { "0", "2800", true },
    { "1000", "3000", true }, // cold anew
};

}

// Guards against a server that is flooded as its heartbeat, which says that it has become cold, is dropped, and against a fleet that
// is told of every heartbeat.
TEST_CASE("A heartbeat is passed on if the server becomes cold by it, and not otherwise")
{
    for (const auto& test : heartbeatCases) {
        CAPTURE(test.before);
        CAPTURE(test.after);
        WarmupCatalog relay;
        relay.catalog.applySnapshot(registry, { row(test.before, 5) }, 5);
        WarmupCatalog follower;
        REQUIRE(follower.catalog.apply(relay.catalog.changesSince({})));
        relay.catalog.applyChanges(registry, { row(test.after, 6) }, 6);
        CHECK(relay.catalog.hasChangedSince(follower.catalog.receivedPosition()) == test.isPassedOn);
        REQUIRE(follower.catalog.apply(relay.catalog.changesSince(follower.catalog.receivedPosition())));
        CHECK(follower.isCold() == (test.before != "0" || test.isPassedOn));
        CHECK(relay.isCold() == follower.isCold());
        // One that starts gets what the server said last.
        WarmupCatalog starting;
        REQUIRE(starting.catalog.apply(relay.catalog.changesSince({})));
        CHECK(starting.isCold() == (test.after != "0"));
    }
}

// Guards against a gateway that starts and takes all servers for cold, since the rows that it gets were written when they started.
TEST_CASE("The remaining warm-up in a row from a relay counts from when the relay got the row")
{
    for (auto ageMs : { 0, 2999, 3000, 60'000 }) {
        CAPTURE(ageMs);
        WarmupCatalog relay;
        relay.catalog.applySnapshot(registry, { row("3000", 5) }, 5);
        Gateway::UpdateResponse response { .isRelay = true, .relayList = {}, .catalog = relay.catalog.changesSince({}), .members = {}, .crashes = {}, .allowances = {} };
        REQUIRE(response.catalog.rowAges.size() == 1);
        response.catalog.rowAges["a"] = std::chrono::milliseconds(ageMs);
        auto parsed = Gateway::parseUpdateResponse(toText(response, Gateway::encodeRows(response.catalog.rows)));
        REQUIRE(parsed);
        WarmupCatalog follower;
        REQUIRE(follower.catalog.apply(parsed.value().catalog));
        CHECK(follower.isCold() == (ageMs < 3000));
        // It passes on the whole age.
        auto update = follower.catalog.changesSince({});
        REQUIRE(update.rowAges.contains("a"));
        CHECK((update.rowAges.at("a") == std::chrono::milliseconds(ageMs)));
    }
}
