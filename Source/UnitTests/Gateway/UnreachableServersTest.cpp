#include "FleetFixture.h"

#include <array>
#include <atomic>
#include <functional>
#include <mutex>

#include <doctest/doctest.h>

// Gateways that lose their paths to all backend servers, while callers, the store and other gateways still reach them.

namespace {

using std::chrono::milliseconds;
using UnitTests::CallerConnection;
using UnitTests::CutKind;
using UnitTests::Fleet;
using UnitTests::requestBytes;

// The operators' bound: from here on after a cut, callers must be served.
constexpr auto stabilityTime = std::chrono::seconds(3);
constexpr auto measuredTime = milliseconds(1500);
// Callers of a gateway: more in the cut than before it, so that the gateway's open connections to servers don't suffice.
constexpr int callersBeforeCut = 1;
constexpr int callersInCut = 10;

struct Outcome {
    int gateway = 0;
    std::string id;
    bool once = false; // must not run twice
    int status = 0;
    Common::TimePoint sent;
};

// Callers of all gateways, a few a gateway, each of which sends one request after the other.
std::vector<Outcome> callFor(Fleet& fleet, int gateways, Common::Duration length, int callersPerGateway)
{
    std::vector<Outcome> outcomes;
    std::mutex mutex;
    std::vector<std::thread> callers;
    auto end = std::chrono::steady_clock::now() + length;
    static std::atomic<int> sequence = 0;
    for (int i = 0; i < gateways * callersPerGateway; ++i) {
        callers.emplace_back([&, gateway = i % gateways] {
            std::unique_ptr<CallerConnection> connection;
            while (std::chrono::steady_clock::now() < end) {
                auto n = ++sequence;
                Outcome outcome { .gateway = gateway, .id = "call-" + std::to_string(n), .once = n % 2 == 0, .status = 0, .sent = std::chrono::steady_clock::now() };
                try {
                    if (!connection)
                        connection = std::make_unique<CallerConnection>(fleet.gateway(gateway).daemon().callersAddress());
                    connection->send(outcome.once ? requestBytes("POST", "/once/x", outcome.id, 1000, "body") : requestBytes("GET", "/safe/x", outcome.id));
                    outcome.status = connection->receive().status;
                } catch (const Poco::Exception&) {
                    outcome.status = 0; // connection refused or reset
                }
                if (outcome.status == 0 || connection->closes())
                    connection.reset();
                {
                    std::lock_guard lock(mutex);
                    outcomes.push_back(outcome);
                }
                std::this_thread::sleep_for(milliseconds(20));
            }
        });
    }
    for (auto& caller : callers)
        caller.join();
    return outcomes;
}

void checkPromises(Fleet& fleet, const std::vector<Outcome>& outcomes)
{
    for (const auto& outcome : outcomes) {
        CAPTURE(outcome.id);
        CAPTURE(outcome.status);
        auto runs = fleet.runs(outcome.id);
        if (outcome.once)
            CHECK(runs <= 1);
        if (outcome.once && outcome.status == Net::HttpStatus::Unavailable)
            CHECK(runs == 0);
        if (outcome.status == Net::HttpStatus::Ok)
            CHECK(runs >= 1);
    }
}

struct CutCase {
    std::string name;
    CutKind kind = CutKind::Silent;
    int cutOff = 1; // of `gateways`
    int gateways = 3;
    int firstPort = 0;
};

const CutCase cutCases[] = {
    { "silent, one of three", CutKind::Silent, 1, 3, 20100 },
    { "silent, two of three", CutKind::Silent, 2, 3, 20103 },
    { "reset, one of three", CutKind::Reset, 1, 3, 20106 },
    { "reset, two of three", CutKind::Reset, 2, 3, 20109 },
    { "new connections refused, one of three", CutKind::NewRefused, 1, 3, 20112 },
    { "new connections refused, two of three", CutKind::NewRefused, 2, 3, 20115 },
};

}

// Guards against gateways that refuse all requests, or answer them too late, while others reach the servers.
TEST_CASE("Callers of gateways that are cut off from all servers are served nearly as well as those of the others")
{
    for (const auto& row : cutCases) {
        CAPTURE(row.name);
        Fleet fleet(row.gateways, row.firstPort);
        REQUIRE(fleet.waitReady());
        callFor(fleet, row.gateways, milliseconds(300), callersBeforeCut);
        auto cutAt = std::chrono::steady_clock::now();
        for (int i = 0; i < row.cutOff; ++i)
            fleet.cut(i, row.kind);
        auto outcomes = callFor(fleet, row.gateways, stabilityTime + measuredTime, callersInCut);
        std::array<double, 2> sent {};
        std::array<double, 2> served {};
        for (const auto& outcome : outcomes) {
            if (outcome.sent < cutAt + stabilityTime)
                continue;
            auto isCutOff = outcome.gateway < row.cutOff ? 1 : 0;
            ++sent[isCutOff];
            served[isCutOff] += outcome.status == Net::HttpStatus::Ok ? 1 : 0;
        }
        REQUIRE(sent[0] > 0);
        REQUIRE(sent[1] > 0);
        CAPTURE(sent[1]);
        CAPTURE(served[1]);
        CHECK(served[1] / sent[1] >= 2.0 / 3 * served[0] / sent[0]);
        checkPromises(fleet, outcomes);
    }
}

// Guards against dropping the open connections to a server because a new one to it failed.
TEST_CASE("A gateway goes on using its open connections to servers while new ones are refused")
{
    constexpr int callersBefore = 1;
    constexpr int callersAfter = 10;
    Fleet fleet(1, 20140);
    REQUIRE(fleet.waitReady());
    auto served = [](const std::vector<Outcome>& outcomes) {
        return std::count_if(outcomes.begin(), outcomes.end(), [](const auto& it) { return it.status == Net::HttpStatus::Ok; });
    };
    callFor(fleet, 1, milliseconds(500), callersBefore);
    auto before = served(callFor(fleet, 1, measuredTime, callersBefore));
    fleet.cut(0, CutKind::NewRefused);
    checkPromises(fleet, callFor(fleet, 1, stabilityTime, callersAfter));
    auto outcomes = callFor(fleet, 1, measuredTime, callersAfter);
    CAPTURE(before);
    CHECK(served(outcomes) >= before / 2);
    CHECK(std::none_of(outcomes.begin(), outcomes.end(), [](const auto& it) { return it.status == Net::HttpStatus::BadGateway; }));
    checkPromises(fleet, outcomes);
}

// Guards against refusals as "busy" by a gateway that can't open connections to the servers that have room.
TEST_CASE("While new connections are refused and the servers with open ones are busy, requests are served by way of another gateway")
{
    constexpr int busySlots = 3; // of four: the last one is kept for urgent requests
    constexpr int servers = 6;
    // With many load probes the other gateway always finds a server with room.
    Fleet fleet(2, 20240, servers, [](auto& settings) { settings.probesPerServer = 1000; });
    REQUIRE(fleet.waitReady());
    auto isServedDirectly = [&] {
        auto before = Fleet::metric(fleet.gateway(0), "forwarded_total");
        auto status = fleet.gateway(0).call(requestBytes("GET", "/safe/x", "direct")).status;
        return status == Net::HttpStatus::Ok && Fleet::metric(fleet.gateway(0), "forwarded_total") == before;
    };
    // The gateway gets an open connection to the first server only.
    fleet.cut(0, CutKind::Reset, 1);
    REQUIRE(UnitTests::eventually(isServedDirectly));
    fleet.cut(0, CutKind::NewRefused);
    REQUIRE(UnitTests::eventually([&] { return isServedDirectly() && Fleet::metric(fleet.gateway(0), "unreachable_services") == 1; }));
    fleet.fixture().thread.call([&] { fleet.fixture().servers.front()->setOtherWork(busySlots); });
    CallerConnection caller(fleet.gateway(0).daemon().callersAddress());
    for (int i = 0; i < 50; ++i) {
        auto once = i % 2 == 0;
        auto id = "busy-" + std::to_string(i);
        caller.send(once ? requestBytes("POST", "/once/x", id, 1000, "body") : requestBytes("GET", "/safe/x", id));
        CHECK(caller.receive().status == Net::HttpStatus::Ok);
        CHECK(fleet.runs(id) == 1);
    }
}

// Guards against 502 for requests that were sent although all paths were known to be cut, since the load probes were used up.
TEST_CASE("A gateway that reaches no server refuses requests as not run, however many come")
{
    Fleet fleet(1, 20141);
    REQUIRE(fleet.waitReady());
    fleet.cut(0, CutKind::Reset);
    CallerConnection caller(fleet.gateway(0).daemon().callersAddress());
    constexpr int requests = 600;
    for (int i = 0; i < requests; ++i) {
        auto id = "refused-" + std::to_string(i);
        caller.send(requestBytes("POST", "/once/x", id, 1000, "body"));
        CHECK(caller.receive().status == Net::HttpStatus::Unavailable);
        CHECK(fleet.runs(id) == 0);
    }
}
