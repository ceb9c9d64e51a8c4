#include "Decisions/Authentication.h"

#include <doctest/doctest.h>

namespace {

using Decisions::AuthenticationInputs;
using Decisions::AuthenticationVerdict;
using enum Decisions::AuthenticationVerdict;

constexpr auto fresh = std::chrono::milliseconds(900);
constexpr auto old = std::chrono::milliseconds(2100); // beyond the time in which changes arrive
constexpr auto outdated = std::chrono::milliseconds(5001);
constexpr auto maxAge = std::chrono::milliseconds(5000);

struct Case {
    std::string what;
    bool needsKey;
    bool isKeyKnown;
    std::optional<Common::Duration> age;
    std::optional<Common::Duration> limit;
    AuthenticationVerdict verdict;
};

const Case cases[] = {
    { "public route", false, false, {}, maxAge, Serve },
    { "known key", true, true, fresh, maxAge, Serve },
    { "known key, knowledge at the limit", true, true, maxAge, maxAge, Serve },
    { "known key, knowledge too old: it may have been revoked", true, true, outdated, maxAge, Outdated },
    { "known key, age not known: a relay of an older version", true, true, {}, maxAge, Outdated },
    { "known key, knowledge of any age, revocation not strict", true, true, outdated, {}, Serve },
    { "known key, age not known, revocation not strict", true, true, {}, {}, Serve },
    { "unknown key", true, false, fresh, maxAge, Reject },
    { "unknown key, revocation not strict", true, false, fresh, {}, Reject },
    { "unknown key that may be new", true, false, old, maxAge, Outdated },
    { "unknown key that may be new, revocation not strict", true, false, old, {}, Outdated },
    { "unknown key, age not known", true, false, {}, {}, Outdated },
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
