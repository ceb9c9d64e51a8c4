#include "Gateway/ForwardedRequest.h"

#include <doctest/doctest.h>

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
