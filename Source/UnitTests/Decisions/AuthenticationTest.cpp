#include "Decisions/Authentication.h"

#include <doctest/doctest.h>

namespace {

using Decisions::AuthenticationVerdict;
using enum Decisions::AuthenticationVerdict;

constexpr auto fresh = std::chrono::milliseconds(900);
constexpr auto old = std::chrono::milliseconds(2100); // beyond the time in which changes arrive
constexpr auto outdated = std::chrono::milliseconds(5001);
constexpr auto maxAge = std::chrono::milliseconds(5000);

struct Case {
    std::string what;
    std::optional<Common::Duration> age;
    std::optional<Common::Duration> limit;
    AuthenticationVerdict verdict;
    bool needsKey;
    bool isKeyKnown;
};

const Case cases[] = {
    { "public route", {}, maxAge, Serve, false, false },
    { "known key", fresh, maxAge, Serve, true, true },
    { "known key, knowledge at the limit", maxAge, maxAge, Serve, true, true },
    { "known key, knowledge too old: it may have been revoked", outdated, maxAge, Outdated, true, true },
    { "known key, age not known: a relay of an older version", {}, maxAge, Outdated, true, true },
    { "known key, knowledge of any age, revocation not strict", outdated, {}, Serve, true, true },
    { "known key, age not known, revocation not strict", {}, {}, Serve, true, true },
    { "unknown key", fresh, maxAge, Reject, true, false },
    { "unknown key, revocation not strict", fresh, {}, Reject, true, false },
    { "unknown key that may be new", old, maxAge, Outdated, true, false },
    { "unknown key that may be new, revocation not strict", old, {}, Outdated, true, false },
    { "unknown key, age not known", {}, {}, Outdated, true, false },
};

}

// Guards against revoked keys that go on working at gateways which can't hear of it, and against 401 for keys that are new.
TEST_CASE("A key is accepted only while it can't have been revoked, and rejected only while it can't be new")
{
    for (const auto& row : cases) {
        CAPTURE(row.what);
        CHECK(Decisions::authenticate({ .needsKey = row.needsKey, .isKeyKnown = row.isKeyKnown, .age = row.age, .maxAge = row.limit }) == row.verdict);
    }
}
