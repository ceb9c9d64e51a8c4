#include "Gateway/FleetFixture.h"
#include "Gateway/ScriptedFleet.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

// Responses of servers by whose status callers know that the request has not run (408, 421, 429, 503).

namespace {

using namespace UnitTests;

struct StatusCase {
    int status;
    bool isStated; // by the header that the request was not executed
    std::string target;
    int passedOn; // status that the caller gets
};

const StatusCase statusCases[] = {
    { 503, false, "/once/x", 502 },
    { 429, false, "/once/x", 502 },
    { 408, false, "/once/x", 502 },
    { 503, true, "/once/x", 503 },
    { 429, true, "/once/x", 503 },
    { 408, true, "/once/x", 503 },
    // Status 421 states it by itself.
    { 421, false, "/once/x", 503 },
    { 421, true, "/once/x", 503 },
    // These tell nothing.
    { 500, false, "/once/x", 500 },
    { 504, false, "/once/x", 504 },
    { 400, false, "/once/x", 400 },
    { 404, false, "/once/x", 404 },
    // A request that may run twice gets what the server answered.
    { 503, false, "/safe/x", 503 },
    { 429, false, "/safe/x", 429 },
    { 408, false, "/safe/x", 408 },
};

struct FormCase {
    std::string what;
    std::string headers;
    std::string body; // with its framing headers
};

const std::string requestId = std::string(Names::requestId) + ": unproven\r\n";
const std::string seal = "X-Cowslipledge-Response-Seal: seal\r\n";
const std::string largeBody(200'000, 'x');

const FormCase formCases[] = {
    { "with the request's id and a seal", requestId + seal, "Content-Length: 4\r\n\r\nfail" },
    { "without a seal", requestId, "Content-Length: 0\r\n\r\n" },
    { "with Retry-After", requestId + seal + "Retry-After: 0.1\r\n", "Content-Length: 4\r\n\r\nfail" },
    { "chunked", requestId + seal, "Transfer-Encoding: chunked\r\n\r\n4\r\nfail\r\n0\r\n\r\n" },
    { "closing", requestId + seal + "Connection: close\r\n", "\r\nfail" },
    { "beyond what a gateway holds", requestId + seal, fmt::format("Content-Length: {}\r\n\r\n", largeBody.size()) + largeBody },
};

}

// Guards against requests that are done twice: a server that fails after it has run one answers 503, and the caller takes that for "has not run".
TEST_CASE("A status that tells the caller that its request has not run is passed on only if the server states it, or the request may run twice")
{
    for (const auto& form : formCases) {
        for (const auto& row : statusCases) {
            CAPTURE(form.what);
            CAPTURE(row.status);
            CAPTURE(row.isStated);
            CAPTURE(row.target);
            auto stated = row.isStated ? std::string(Names::notExecuted) + ": 1\r\n" : std::string();
            ScriptedFleet fleet({ SendBytes { fmt::format("HTTP/1.1 {} X\r\n", row.status) + stated + form.headers + form.body }, ShutdownSend {}, WaitForClient {} });
            auto isOnce = row.target == "/once/x";
            auto response = fleet.gateway->call(requestBytes(isOnce ? "POST" : "GET", row.target, "unproven", 1000, isOnce ? "pay" : ""));
            CHECK(response.status == row.passedOn);
            // The seal vouches for the server's own status.
            CHECK(Net::findHeader(response.headers, "X-Cowslipledge-Response-Seal").has_value() == (row.passedOn == row.status && !row.isStated && form.headers.find(seal) != std::string::npos));
            CHECK(Fleet::metric(*fleet.gateway, "unproven_rejections_total") == (row.passedOn == 502 ? 1 : 0));
        }
    }
}

// The same by way of another gateway, which serves callers of a gateway that is cut off from all servers.
TEST_CASE("A 503 that a server does not state as not executed reaches no caller by way of another gateway either")
{
    Fleet fleet(2, 20720);
    REQUIRE(fleet.waitReady());
    fleet.cut(0, CutKind::Silent);
    CHECK(eventually([&] {
        fleet.gateway(0).call(requestBytes("GET", "/safe/x", "learn", 300));
        return Fleet::metric(fleet.gateway(0), "unreachable_services") == 1;
    }));
    fleet.fixture().thread.call([&] {
        for (auto& server : fleet.fixture().servers)
            server->setMode(PlatformStandIn::ServerMode::FailsUnavailable);
    });
    for (std::size_t bodyBytes : { 4, 900'000 }) {
        CAPTURE(bodyBytes);
        auto id = "hop" + std::to_string(bodyBytes);
        auto before = Fleet::metric(fleet.gateway(0), "forwarded_total").value_or(0);
        CHECK(fleet.gateway(0).call(requestBytes("POST", "/once/x", id, 3000, std::string(bodyBytes, 'p'))).status == 502);
        CHECK(Fleet::metric(fleet.gateway(0), "forwarded_total") == before + 1);
        CHECK(fleet.runs(id) == 1);
    }
}
