#include "Gateway/ForwardedRequest.h"

#include <limits>

#include <doctest/doctest.h>

#include "Gateway/OldForwardedRequest.h"

using namespace Gateway;

TEST_CASE("What one gateway tells another of a forwarded request is read back as it was written")
{
    for (const std::string name : { "plain", "with space", "a&b=c?d", "100%", "ü;\"" }) {
        for (auto repeat : { Records::Repeat::Safe, Records::Repeat::Never }) {
            CAPTURE(name);
            ForwardedRequest request { .route = {}, .service = name };
            request.route.name = name;
            request.route.repeat = repeat;
            request.route.goal = std::chrono::milliseconds(250);
            request.route.priority = 2;
            request.route.maxAttempts = 3;
            auto read = parseForwardedRequest(toHeaderValue(request));
            REQUIRE(read.has_value());
            CHECK(read->service == name);
            CHECK(read->route.name == name);
            CHECK(read->route.repeat == repeat);
            CHECK(read->route.goal == request.route.goal);
            CHECK(read->route.priority == 2);
            CHECK(read->route.maxAttempts == 3);
            REQUIRE(read->route.parts.size() == 1);
            CHECK(read->route.parts.front().service == name);
        }
    }
}

TEST_CASE("Malformed headers of forwarded requests are rejected")
{
    REQUIRE(parseForwardedRequest("?service=s&route=r&repeat=safe&goal_ms=300&priority=1&attempts=2").has_value());
    for (const std::string text : {
             "", "service=s", "?", "?service=&route=r&repeat=safe&goal_ms=300&priority=1&attempts=2",
             "?service=s&route=r&repeat=often&goal_ms=300&priority=1&attempts=2", "?service=s&route=r&repeat=safe&goal_ms=-1&priority=1&attempts=2",
             "?service=s&route=r&repeat=safe&goal_ms=300&priority=1&attempts=0", "?service=s&route=r&repeat=safe&goal_ms=300&priority=1&attempts=2x",
             "?service=s&route=r&repeat=safe&goal_ms=300&priority=99999999999&attempts=2", "?service=%zz&route=r&repeat=safe&goal_ms=300&priority=1&attempts=2" }) {
        CAPTURE(text);
        CHECK(!parseForwardedRequest(text).has_value());
    }
}

// Guards against gateways of the previous version that run a request whose caller nobody has authenticated.
TEST_CASE("An unauthenticated request is told from others, and earlier versions take its header for malformed")
{
    for (std::uint64_t version : { std::uint64_t(0), std::uint64_t(7), std::numeric_limits<std::uint64_t>::max() }) {
        CAPTURE(version);
        auto text = toHeaderValue(UnauthenticatedRequest { version });
        auto read = parseUnauthenticatedRequest(text);
        REQUIRE(read.has_value());
        CHECK(read->configurationVersion == version);
        CHECK(!parseForwardedRequest(text).has_value());
        CHECK(!UnitTests::isAcceptedByOldGateway(text));
    }
    ForwardedRequest request { .route = {}, .service = "unauthenticated;configuration=1" };
    request.route.name = request.service;
    request.route.maxAttempts = 1;
    auto authenticated = toHeaderValue(request);
    CHECK(UnitTests::isAcceptedByOldGateway(authenticated));
    for (const std::string text : { "", "unauthenticated", "unauthenticated;configuration=", "unauthenticated;configuration=-1", "unauthenticated;configuration=1x",
             "unauthenticated;configuration= 1", "unauthenticated;configuration=99999999999999999999", "Unauthenticated;configuration=1", authenticated.c_str() }) {
        CAPTURE(text);
        CHECK(!parseUnauthenticatedRequest(text).has_value());
    }
}
