#include "Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

#include "Gateway/ForwardedRequest.h"

// Requests that come late in a planned stop.

namespace {

using std::chrono::milliseconds;
using namespace UnitTests;

constexpr milliseconds work(800);
// Of a stop that ends after 0.94 * 2 s: a request that comes then can't be answered any more.
constexpr milliseconds lateness(1350);

struct LateCase {
    std::string what;
    std::string method;
    std::string target;
    std::string body;
    bool isForwarded = false; // by another gateway
};

const LateCase lateCases[] = {
    { "safe", "GET", "/safe/x", "" },
    { "not safe to repeat", "POST", "/once/x", "pay" },
    { "body in pieces", "POST", "/once/x", std::string(1000, 'b') },
    { "forwarded, safe", "GET", "/safe/x", "", true },
    { "forwarded, not safe to repeat", "POST", "/once/x", "pay", true },
};

// A request may take long to arrive.
std::string patientConfiguration()
{
    auto value = PlatformStandIn::configurationValue(2, "service");
    const std::string limit = "\"header_timeout_ms\":";
    auto at = value.find(limit) + limit.size();
    return value.replace(at, value.find(',', at) - at, "5000");
}

std::string forwardedField()
{
    Gateway::Route route { .name = "r", .host = "host.example", .prefix = "/", .timeout = std::chrono::seconds(2), .goal = milliseconds(300), .maxAttempts = 2, .parts = {} };
    return std::string(Gateway::forwardedHeader) + ": " + Gateway::toHeaderValue({ .route = route, .service = "service" }) + "\r\n";
}

// The gateway knows how long its server works.
void learnWork(RunningGateway& gateway)
{
    for (int i = 0; i < 3; ++i) {
        CHECK(gateway.call(requestBytes("GET", "/safe/x", "learn-safe" + std::to_string(i), 2000)).status == 200);
        CHECK(gateway.call(requestBytes("POST", "/once/x", "learn-once" + std::to_string(i), 2000, "pay")).status == 200);
    }
}

}

// Guards against requests that are passed on late in a planned stop and cut off without an answer at its end, though they may not be repeated.
TEST_CASE("A request that can't be answered before a planned stop ends is refused as not run, and reaches no server")
{
    for (const auto& row : lateCases) {
        CAPTURE(row.what);
        GatewayFixture fixture(1);
        fixture.thread.call([&] {
            fixture.servers[0]->setWork(work);
            fixture.store->put(Names::operatorTable, Names::configurationKey, patientConfiguration());
        });
        auto gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
        learnWork(*gateway);
        auto bytes = requestBytes(row.method, row.target, "late", 2000, row.body);
        if (row.isForwarded)
            bytes.insert(bytes.find("\r\n") + 2, forwardedField());
        CallerConnection caller(row.isForwarded ? gateway->daemon().forwardingAddress() : gateway->daemon().callersAddress());
        caller.send(bytes.substr(0, bytes.size() - 1));
        gateway->daemon().shutDown();
        std::this_thread::sleep_for(lateness);
        caller.send(bytes.substr(bytes.size() - 1));
        auto response = caller.receive();
        CHECK(response.status == 503);
        CHECK(Net::findHeader(response.headers, "Retry-After"));
        CHECK(caller.closes());
        // Another gateway tries a third one then.
        CHECK(Net::findHeader(response.headers, Names::notExecuted).value_or("") == (row.isForwarded ? Gateway::unreachableReason : ""));
        CHECK(fixture.runs.runs("late") == 0);
        CHECK(gateway->join());
    }
}

// Guards against a stopping gateway that turns away requests which it has time for.
TEST_CASE("A request that comes early in a planned stop is served")
{
    GatewayFixture fixture(1);
    fixture.thread.call([&] { fixture.servers[0]->setWork(work); });
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    learnWork(*gateway);
    CallerConnection caller(gateway->daemon().callersAddress());
    gateway->daemon().shutDown();
    caller.send(requestBytes("POST", "/once/x", "early", 1500, "pay"));
    CHECK(caller.receive().status == 200);
    CHECK(fixture.runs.runs("early") == 1);
    CHECK(gateway->join());
}
