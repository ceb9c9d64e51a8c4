#include "CatalogParts.h"

#include <set>

#include <doctest/doctest.h>

namespace {

using Gateway::CatalogUpdate;
using Platform::TableRow;

const std::string registry = "registry";

Gateway::CatalogDecoder decoder()
{
    return {
        .registryTable = registry,
        .operatorTable = "operators",
        .configurationKey = "configuration",
        .server = [](const std::string& key, const std::string& service) -> Common::Result<Gateway::ServerRecord> {
            return Gateway::ServerRecord { .id = key, .service = service, .address = "127.0.0.1:1", .failureDomain = "a", .slots = 1, .startedMs = 1 };
        },
        .configuration = [](const std::string&) { return Gateway::ConfigurationReading(); },
    };
}

TableRow row(const std::string& key, std::uint64_t version)
{
    return { .table = registry, .key = key, .value = "service", .version = version };
}

TableRow removal(const std::string& key, std::uint64_t version)
{
    return { .table = registry, .key = key, .value = {}, .version = version };
}

class CatalogFixture : public UnitTests::CatalogParts {
public:
    CatalogFixture()
        : CatalogParts(decoder())
    {
    }

    void snapshot(std::uint64_t version, const std::vector<TableRow>& rows) { catalog.applySnapshot(registry, rows, version); }
    void changes(std::uint64_t version, const std::vector<TableRow>& rows) { catalog.applyChanges(registry, rows, version); }
    // Gets the update that `relay` has for it. Returns whether that was the full catalog.
    bool follow(const CatalogFixture& relay)
    {
        auto update = relay.catalog.changesSince(catalog.receivedPosition());
        REQUIRE(catalog.apply(update));
        return update.isFull;
    }
    std::set<std::string> servers() const
    {
        std::set<std::string> keys;
        for (const auto& server : catalog.changesSince({}).rows)
            keys.insert(server.key);
        return keys;
    }
};

// What a relay knows when a follower, which holds a and b as of version 10, comes to it.
struct RelayCase {
    std::string what;
    std::function<void(CatalogFixture& relay)> read;
    bool givesFull;
};

const RelayCase relayCases[] = {
    { "first read after the removal", [](auto& relay) { relay.snapshot(15, { row("a", 1) }); }, true },
    { "first read after the removal, and changes", [](auto& relay) {
         relay.snapshot(15, { row("a", 1) });
         relay.changes(16, { row("c", 16) }); }, true },
    { "read in full before the server came and after it left", [](auto& relay) {
         relay.snapshot(5, { row("a", 1) });
         relay.snapshot(15, { row("a", 1) }); }, true },
    { "read twice in full since", [](auto& relay) {
         relay.snapshot(5, { row("a", 1) });
         relay.snapshot(15, { row("a", 1) });
         relay.snapshot(18, { row("a", 1) }); }, true },
    { "only the removal in its changes", [](auto& relay) {
         relay.snapshot(5, { row("a", 1) });
         relay.changes(15, { removal("b", 12) }); }, false },
    { "registration and removal in its changes", [](auto& relay) {
         relay.snapshot(5, { row("a", 1) });
         relay.changes(15, { row("b", 8), removal("b", 12) }); }, false },
    { "read in full before and after the removal", [](auto& relay) {
         relay.snapshot(10, { row("a", 1), row("b", 8) });
         relay.snapshot(15, { row("a", 1) }); }, false },
};

}

// Guards against requests to servers that have left, from gateways whose relay never knew them.
TEST_CASE("A follower hears of every server that left since its position, whatever the relay has read itself")
{
    for (const auto& test : relayCases) {
        CAPTURE(test.what);
        CatalogFixture follower;
        follower.snapshot(10, { row("a", 1), row("b", 8) });
        CatalogFixture relay;
        test.read(relay);
        CHECK(relay.catalog.hasChangedSince(follower.catalog.receivedPosition()));
        CHECK(follower.follow(relay) == test.givesFull);
        CHECK(follower.servers().contains("a"));
        CHECK(!follower.servers().contains("b"));
        CHECK(follower.catalog.knowsRemovals());
        // Nothing is sent again, and what comes next is sent as a change.
        CHECK(!relay.catalog.hasChangedSince(follower.catalog.receivedPosition()));
        relay.changes(20, { row("d", 20) });
        CHECK(!follower.follow(relay));
        CHECK(follower.servers() == relay.servers());
    }
}

TEST_CASE("While removals are held back after an outage, a follower gets the full catalog once")
{
    CatalogFixture relay;
    relay.snapshot(10, { row("a", 1), row("b", 8) });
    relay.catalog.onStoreRecovered();
    relay.snapshot(15, { row("a", 1) });
    REQUIRE(relay.servers().contains("b"));
    CatalogFixture follower;
    follower.snapshot(12, { row("a", 1), row("c", 11) });
    CHECK(follower.follow(relay));
    CHECK(!relay.catalog.hasChangedSince(follower.catalog.receivedPosition()));
    CHECK(!follower.follow(relay));
}

// A relay of an older version never tells whether it knows all removals, and hands on servers that it has missed the removal of.
TEST_CASE("A gateway knows that a relay of an older version may not have told it of all removals")
{
    CatalogFixture relay;
    relay.snapshot(15, { row("a", 1) });
    auto fromOldVersion = [&](const Gateway::CatalogPosition& from) {
        auto update = relay.catalog.changesSince(from);
        update.knowsRemovals = false;
        return update;
    };
    CatalogFixture gateway;
    gateway.snapshot(10, { row("a", 1), row("b", 8) });

    SUBCASE("changes")
    {
        auto update = fromOldVersion(gateway.catalog.receivedPosition());
        update.isFull = false; // as that version sends it
        REQUIRE(gateway.catalog.apply(update));
        CHECK(!gateway.catalog.knowsRemovals());
        CHECK(!gateway.catalog.changesSince({}).knowsRemovals);
    }
    SUBCASE("the full catalog")
    {
        REQUIRE(gateway.catalog.apply(fromOldVersion({})));
        CHECK(!gateway.servers().contains("b"));
        CHECK(!gateway.catalog.knowsRemovals());
    }
    SUBCASE("nothing new")
    {
        CatalogUpdate update { .isFull = false, .position = gateway.catalog.position(), .age = {}, .rows = {} };
        REQUIRE(gateway.catalog.apply(update));
        CHECK(gateway.catalog.knowsRemovals());
        return;
    }
    // The store, or a relay that knows all removals, settles it.
    SUBCASE("then a relay of this version")
    {
        REQUIRE(gateway.catalog.apply(relay.catalog.changesSince({})));
        CHECK(gateway.catalog.knowsRemovals());
        CHECK(gateway.servers() == relay.servers());
    }
    SUBCASE("then the store")
    {
        gateway.snapshot(16, { row("a", 1) });
        CHECK(gateway.catalog.knowsRemovals());
        CHECK(gateway.servers() == relay.servers());
    }
}

TEST_CASE("A server that another gateway still holds does not come back by it")
{
    CatalogFixture gateway;
    gateway.snapshot(10, { row("a", 1), row("b", 8) });
    gateway.changes(12, { removal("b", 12) });
    for (auto isFull : { false, true }) {
        CAPTURE(isFull);
        CatalogUpdate update { .isFull = isFull, .position = { .era = 0, .registry = 15, .operators = 0 }, .age = {}, .rows = { row("a", 1), row("b", 8) } };
        REQUIRE(gateway.catalog.apply(update));
        CHECK(gateway.servers() == std::set<std::string> { "a" });
    }
    // It registers again.
    REQUIRE(gateway.catalog.apply({ .isFull = false, .position = { .era = 0, .registry = 17, .operators = 0 }, .age = {}, .rows = { row("b", 17) } }));
    CHECK(gateway.servers().contains("b"));
}
