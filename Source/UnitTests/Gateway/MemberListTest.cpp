#include "FakeRelay.h"
#include "GatewayFixture.h"

#include <json/json.h>

#include <doctest/doctest.h>

#include "Common/JsonText.h"

// What gateways know of each other, and tell callers in directory answers.

namespace {

using UnitTests::eventually;
using UnitTests::FakeRelay;
using UnitTests::GatewayFixture;
using UnitTests::RunningGateway;

// Longest time for which a gateway may name others to callers without any sign of life from them.
constexpr auto longestSilence = std::chrono::seconds(8);

std::vector<std::string> directoryAddresses(RunningGateway& gateway)
{
    auto response = RunningGateway::get(gateway.daemon().directoryAddress(), std::string(PlatformAdapter::Names::directoryPath) + "?name=host.example&zone=a");
    auto json = Common::parseJsonObject(response.body);
    std::vector<std::string> addresses;
    for (const auto& address : json ? (*json)["addresses"] : Json::Value())
        addresses.push_back(address.asString());
    return addresses;
}

// Sends a request for updates and returns the head line of the response.
Json::Value askForUpdates(const std::string& relay, const std::string& body)
{
    UnitTests::CallerConnection connection(relay);
    connection.send("POST /v1/news HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    auto text = connection.receive().body;
    return Common::parseJsonObject(text.substr(0, text.find('\n'))).value_or(Json::Value());
}

}

// Guards against a gateway that is cut off from all others and names those to callers that have gone meanwhile.
TEST_CASE("A gateway without relays and store does not name members to callers that it has not heard of for long")
{
    GatewayFixture fixture(1);
    auto relay = fixture.thread.call([&] { return std::make_unique<FakeRelay>(fixture.thread.loop(), *fixture.store, 4); });
    fixture.thread.call([&] {
        relay->setKnownMembers({ { .control = "127.0.0.1:1", .callers = "127.0.0.1:2", .failureDomain = "a", .serving = true },
            { .control = "127.0.0.1:3", .callers = "127.0.0.1:4", .failureDomain = "a", .serving = true },
            { .control = "127.0.0.1:5", .callers = "127.0.0.1:6", .failureDomain = "a", .serving = true } });
    });
    auto gateway = fixture.gateway({ relay->address() }, "127.0.0.1:18431");
    REQUIRE(gateway->waitReady());
    CHECK(eventually([&] { return directoryAddresses(*gateway).size() == 4; }));
    fixture.thread.call([&] {
        relay.reset();
        fixture.store->setMode(PlatformStandIn::StoreMode::Silent);
    });
    auto lost = std::chrono::steady_clock::now();
    CHECK(eventually([&] { return directoryAddresses(*gateway) == std::vector<std::string> { "127.0.0.1:18451" }; }));
    CHECK(std::chrono::steady_clock::now() - lost < longestSilence);
    gateway.reset();
}

// Guards against followers that take the old member list of a standby relay for a new one, for as long as the store is unreachable.
TEST_CASE("A standby relay drops members that nothing has been heard of since the leading relay and the store were lost")
{
    GatewayFixture fixture(1);
    const std::string standbyControl = "127.0.0.1:18437";
    const std::string followerControl = "127.0.0.1:18438";
    auto relay = fixture.thread.call([&] { return std::make_unique<FakeRelay>(fixture.thread.loop(), *fixture.store, 5); });
    fixture.thread.call([&] {
        relay->setKnownMembers({ { .control = "127.0.0.1:1", .callers = "127.0.0.1:2", .failureDomain = "a", .serving = true },
            { .control = "127.0.0.1:3", .callers = "127.0.0.1:4", .failureDomain = "a", .serving = true } });
        relay->appointStandby(*fixture.store, standbyControl);
    });
    auto standby = fixture.gateway({ relay->address() }, standbyControl);
    auto follower = fixture.gateway({ relay->address() }, followerControl);
    REQUIRE(standby->waitReady());
    REQUIRE(follower->waitReady());
    fixture.thread.call([&] {
        relay->announceTo(standbyControl);
        relay->announceTo(followerControl);
    });
    REQUIRE(eventually([&] { return directoryAddresses(*follower).size() >= 3 && directoryAddresses(*standby).size() >= 3; }));
    fixture.thread.call([&] {
        fixture.store->setMode(PlatformStandIn::StoreMode::Silent);
        relay.reset();
    });
    auto lost = std::chrono::steady_clock::now();
    for (auto* gateway : { follower.get(), standby.get() }) {
        CHECK(eventually([&] {
            auto addresses = directoryAddresses(*gateway);
            std::sort(addresses.begin(), addresses.end());
            return addresses == std::vector<std::string> { "127.0.0.1:18457", "127.0.0.1:18458" };
        }));
    }
    CHECK(std::chrono::steady_clock::now() - lost < longestSilence);
    follower.reset();
    standby.reset();
}

// Guards against a follower that is told nothing of the members since a revision that its relay's earlier process had reached.
TEST_CASE("A relay that has started anew sends its whole member list to a follower that holds an older one of the same address")
{
    GatewayFixture fixture(1);
    auto control = std::string("127.0.0.1:18433");
    auto gateway = fixture.gateway({ control }, control);
    REQUIRE(gateway->waitReady());
    auto request = [&](const std::string& extra) {
        return R"({"member":["127.0.0.1:1","127.0.0.1:2","a",1,1,1],"era":0,"registry":1,"operators":1,"listed_by":")" + control
            + R"(","members_revision":5000,"wait_ms":0)" + extra + "}";
    };
    REQUIRE(eventually([&] { return askForUpdates(control, request(""))["relays"].asBool(); }));
    auto started = askForUpdates(control, request(""))["members_start"].asInt64();
    CHECK(started != 0);
    CHECK(askForUpdates(control, request(R"(,"members_start":1)"))["members_whole"].asBool());
    CHECK(!askForUpdates(control, request(R"(,"members_start":)" + std::to_string(started)))["members_whole"].asBool());
    CHECK(!askForUpdates(control, request(""))["members_whole"].asBool()); // a version that does not tell
    gateway.reset();
}
