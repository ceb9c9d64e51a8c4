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

namespace {

struct OthersCase {
    std::string what;
    std::optional<Common::Duration> age;
    std::optional<Common::Duration> limit;
    bool isTaken;
};

const OthersCase othersCases[] = {
    { "fresh", fresh, maxAge, true },
    { "old for unknown keys, as between two answers of the store", old, maxAge, true },
    { "soon too old itself", std::chrono::milliseconds(4001), maxAge, false },
    { "too old itself", outdated, maxAge, false },
    { "age not known", {}, maxAge, false },
    { "fresh, revocation not strict", fresh, {}, true },
    { "old, revocation not strict: unknown keys are all that others ask for", old, {}, false },
    { "age not known, revocation not strict", {}, {}, false },
};

}

// Guards against requests that go to gateways which can't authenticate their callers either, and against the last ones in an outage of the store that
// get the requests of the whole fleet.
TEST_CASE("A gateway authenticates callers for others while its own knowledge holds for a while yet")
{
    for (const auto& row : othersCases) {
        CAPTURE(row.what);
        CHECK(Decisions::mayAuthenticateForOthers({ .needsKey = true, .isKeyKnown = false, .age = row.age, .maxAge = row.limit }) == row.isTaken);
    }
}
