#include "CatalogParts.h"

#include <set>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "Gateway/RelayMessages.h"

namespace {

using Gateway::CatalogPosition;
using Platform::TableRow;

const std::string operators = "operators";
const std::string prefix = "evacuate/";

TableRow evacuation(const std::string& domain, std::uint64_t version)
{
    return { .table = operators, .key = prefix + domain, .value = "{}", .version = version };
}

TableRow ended(const std::string& domain, std::uint64_t version)
{
    return { .table = operators, .key = prefix + domain, .value = {}, .version = version };
}

class EvacuationCatalog : public UnitTests::CatalogParts {
public:
    EvacuationCatalog()
        : CatalogParts({
            .registryTable = "registry",
            .operatorTable = operators,
            .configurationKey = "configuration",
            .evacuationPrefix = prefix,
            .server = [](const std::string& key, const std::string& domain) -> Common::Result<Gateway::ServerRecord> {
                return Gateway::ServerRecord { .id = key, .service = "service", .address = "127.0.0.1:1", .failureDomain = domain, .slots = 1, .startedMs = 1 };
            },
            .configuration = [](const std::string&) { return Gateway::ConfigurationReading(); },
        })
    {
        catalog.applySnapshot("registry", {}, 1);
    }
    void snapshot(std::uint64_t version, const std::vector<TableRow>& rows) { catalog.applySnapshot(operators, rows, version); }
    void changes(std::uint64_t version, const std::vector<TableRow>& rows) { catalog.applyChanges(operators, rows, version); }
    // Over the wire form. `isOld`: of a version that passes on the configuration alone.
    void follow(const EvacuationCatalog& relay, bool isOld = false)
    {
        auto from = catalog.receivedPosition();
        if (isOld)
            from.evacuations = CatalogPosition::takesNoEvacuations;
        auto update = relay.catalog.changesSince(from);
        if (isOld) {
            update.position.evacuations = 0;
            update.hasAllEvacuations = false;
        }
        Gateway::UpdateResponse response { .isRelay = true, .relayList = {}, .catalog = update, .members = {}, .crashes = {}, .allowances = {} };
        auto parsed = Gateway::parseUpdateResponse(toText(response, Gateway::encodeRows(update.rows)));
        REQUIRE(parsed);
        REQUIRE(catalog.apply(parsed.value().catalog));
    }
    std::string evacuated() const
    {
        std::string list;
        for (const auto* domain : { "a", "b", "c" })
            list += backends.isEvacuated(domain) ? domain : "";
        return list;
    }
};

struct ReadCase {
    std::string what;
    std::function<void(EvacuationCatalog&)> read;
    std::string evacuated;
};

const ReadCase readCases[] = {
    { "in a full read", [](auto& it) { it.snapshot(5, { evacuation("a", 3) }); }, "a" },
    { "in the changes", [](auto& it) {
         it.snapshot(5, {});
         it.changes(7, { evacuation("a", 6), evacuation("b", 7) }); }, "ab" },
    { "ended in the changes", [](auto& it) {
         it.snapshot(5, { evacuation("a", 3), evacuation("b", 4) });
         it.changes(7, { ended("a", 6) }); }, "b" },
    { "ended in a full read", [](auto& it) {
         it.snapshot(5, { evacuation("a", 3), evacuation("b", 4) });
         it.snapshot(9, { evacuation("b", 4) }); }, "b" },
    { "a full read of an older state of the store", [](auto& it) {
         it.snapshot(5, { evacuation("a", 3) });
         it.snapshot(4, {}); }, "a" },
    { "an old row after its end", [](auto& it) {
         it.snapshot(5, { evacuation("a", 3) });
         it.changes(7, { ended("a", 6) });
         it.changes(8, { evacuation("a", 3) }); }, "" },
    { "ended and begun again", [](auto& it) {
         it.snapshot(5, { evacuation("a", 3) });
         it.changes(8, { ended("a", 6), evacuation("a", 8) }); }, "a" },
    { "kept over a new era until the table has been read", [](auto& it) {
         it.snapshot(50, { evacuation("a", 30) });
         it.catalog.beginEra(7); }, "a" },
    { "gone in the first read of a new era, at a lower version", [](auto& it) {
         it.snapshot(50, { evacuation("a", 30) });
         it.catalog.beginEra(7);
         it.snapshot(5, { evacuation("b", 4) }); }, "b" },
    { "other keys and names that only begin alike", [](auto& it) { it.snapshot(5, { evacuation("aa", 3), evacuation("A", 3), evacuation("b ", 3), evacuation("", 3), { .table = operators, .key = "evacuat", .value = "{}", .version = 4 } }); }, "" },
};

// What a relay reads after a follower got its state as of version 10, when a was evacuated.
struct FollowCase {
    std::string what;
    std::function<void(EvacuationCatalog& relay)> read;
    bool isAnswered; // a held request of the follower
    std::string evacuated;
};

const FollowCase followCases[] = {
    { "nothing", [](auto&) {}, false, "a" },
    { "changes of other rows", [](auto& relay) { relay.changes(12, { { .table = operators, .key = "other", .value = "{}", .version = 12 } }); }, false, "a" },
    { "another evacuation", [](auto& relay) { relay.changes(12, { evacuation("b", 12) }); }, true, "ab" },
    { "the end", [](auto& relay) { relay.changes(12, { ended("a", 12) }); }, true, "" },
    { "the end, in a full read", [](auto& relay) { relay.snapshot(12, {}); }, true, "" },
    { "a full read without a change", [](auto& relay) { relay.snapshot(12, { evacuation("a", 9) }); }, true, "a" },
    { "more ends than are kept", [](auto& relay) {
         relay.changes(12, { ended("a", 12) });
         for (std::uint64_t version = 13; version < 400; ++version)
             relay.changes(version, { ended("x" + std::to_string(version), version) }); }, true, "" },
    { "a new era", [](auto& relay) {
         relay.catalog.beginEra(3);
         relay.catalog.applySnapshot("registry", {}, 2);
         relay.snapshot(4, { evacuation("c", 2) }); }, true, "c" },
};

}

// Guards against evacuations that are missed or kept by a gateway that reads the store.
TEST_CASE("The failure domains that are evacuated follow the operators' table, over full reads, changes and eras")
{
    for (const auto& test : readCases) {
        CAPTURE(test.what);
        EvacuationCatalog gateway;
        test.read(gateway);
        CHECK(gateway.evacuated() == test.evacuated);
        // A gateway that starts gets the same from it, which here has read the registry in the first era only.
        if (!gateway.catalog.hasEraChanged()) {
            EvacuationCatalog follower;
            follower.follow(gateway);
            CHECK(follower.evacuated() == test.evacuated);
        }
    }
}

// Guards against requests to an evacuated domain from gateways that follow a relay, and against relays that answer without end.
TEST_CASE("A follower gets evacuations and their ends from a relay, and its held request is answered for them")
{
    for (const auto& test : followCases) {
        CAPTURE(test.what);
        EvacuationCatalog relay;
        relay.snapshot(10, { evacuation("a", 9) });
        EvacuationCatalog follower;
        follower.follow(relay);
        EvacuationCatalog second;
        second.follow(follower);
        REQUIRE(follower.evacuated() == "a");
        REQUIRE(second.evacuated() == "a");
        REQUIRE(!relay.catalog.hasChangedSince(follower.catalog.receivedPosition()));
        test.read(relay);
        CHECK(relay.catalog.hasChangedSince(follower.catalog.receivedPosition()) == test.isAnswered);
        auto notified = 0;
        follower.catalog.setChangeHandler([&] { ++notified; });
        follower.follow(relay);
        CHECK(follower.evacuated() == test.evacuated);
        CHECK(!relay.catalog.hasChangedSince(follower.catalog.receivedPosition()));
        // The followers of a follower get it too.
        CHECK((!test.isAnswered || notified > 0));
        second.follow(follower);
        CHECK(second.evacuated() == test.evacuated);
        CHECK(!follower.catalog.hasChangedSince(second.catalog.receivedPosition()));
    }
}

// Guards against a mixed fleet in which a gateway of an older version ends an evacuation by not knowing it.
TEST_CASE("A relay that passes on no evacuations ends none, and what it left out is caught up on")
{
    EvacuationCatalog relay;
    relay.snapshot(10, { evacuation("a", 9) });
    EvacuationCatalog follower;
    follower.follow(relay);
    relay.changes(12, { ended("a", 11), evacuation("b", 12) });
    relay.catalog.applySnapshot("registry", {}, 9);
    follower.follow(relay, true);
    CHECK(follower.evacuated() == "a");
    CHECK(follower.catalog.receivedPosition().operators == 12);
    // It would read the store from where it knows all.
    CHECK(follower.catalog.operatorsPosition() == 10);
    CHECK(relay.catalog.hasChangedSince(follower.catalog.receivedPosition()));
    SUBCASE("from a relay that passes them on")
    {
        follower.follow(relay);
    }
    SUBCASE("from the store's changes")
    {
        follower.changes(12, { ended("a", 11), evacuation("b", 12) });
    }
    SUBCASE("from a full read of the store")
    {
        follower.snapshot(12, { evacuation("b", 12) });
    }
    CHECK(follower.evacuated() == "b");
    CHECK(follower.catalog.operatorsPosition() == 12);
    CHECK(!relay.catalog.hasChangedSince(follower.catalog.receivedPosition()));
}

// Guards against requests held by a relay that are answered without end, as an older follower never gets to its position.
TEST_CASE("A follower of an older version is told of no evacuation")
{
    EvacuationCatalog relay;
    relay.snapshot(10, { evacuation("a", 9) });
    Gateway::UpdateRequest request;
    request.position = relay.catalog.position();
    auto text = toText(request);
    auto field = text.find("\"evacuations\"");
    REQUIRE(field != std::string::npos);
    text.erase(field, text.find(',', field) + 1 - field);
    auto parsed = Gateway::parseUpdateRequest(text);
    REQUIRE(parsed);
    CHECK(!relay.catalog.hasChangedSince(parsed.value().position));
    CHECK(relay.catalog.changesSince(parsed.value().position).rows.empty());
}
