#include <doctest/doctest.h>

#include "Bench/Verdict.h"

namespace {

using namespace Bench;

Common::TimePoint at(int ms)
{
    return Common::TimePoint(std::chrono::milliseconds(ms));
}

struct Case {
    const char* name;
    const char* outcome;
    int runs;
    ClientEnd end;
    bool never;
    bool ownBody;
    bool entriesMayDie;
    // Expected.
    std::uint64_t lost;
    std::uint64_t doubled;
    std::uint64_t wrongBody;
    std::uint64_t ranThoughNotRun;
};

// One call, held against a ledger that saw it run `runs` times.
Verdict verdictOf(const Case& test)
{
    Ledger ledger;
    for (int i = 0; i < test.runs; ++i)
        ledger.ran("id", { .server = 0, .at = at(i) });
    CallRecord call;
    call.id = "id";
    call.end = test.end;
    call.outcome = test.outcome;
    call.ownBody = test.ownBody;
    LoadResult load { .calls = { call }, .services = { { .name = "s", .calls = { { .method = "POST", .path = "/", .never = test.never } } } } };
    return check(load, ledger, { .entriesMayDie = test.entriesMayDie, .probeBudgets = {} });
}

}

TEST_CASE("the check passes what the promises allow and names what they forbid")
{
    const Case cases[] {
        { "answered once", "answered", 1, ClientEnd::Answered, true, true, false, 0, 0, 0, 0 },
        { "a safe request may run twice", "answered", 2, ClientEnd::Answered, false, true, false, 0, 0, 0, 0 },
        { "not run", "not-run", 0, ClientEnd::Answered, true, false, false, 0, 0, 0, 0 },
        { "unknown, run", "unknown", 1, ClientEnd::Answered, true, false, false, 0, 0, 0, 0 },
        { "unknown, not run", "unknown", 0, ClientEnd::Answered, true, false, false, 0, 0, 0, 0 },
        { "no entry reached", "", 0, ClientEnd::NotConnected, true, false, false, 0, 0, 0, 0 },
        { "the entry died", "", 1, ClientEnd::Broken, true, false, true, 0, 0, 0, 0 },
        { "answered but run nowhere", "answered", 0, ClientEnd::Answered, true, true, false, 1, 0, 0, 0 },
        { "a never request run twice", "answered", 2, ClientEnd::Answered, true, true, false, 0, 1, 0, 0 },
        { "run twice behind an unknown", "unknown", 2, ClientEnd::Answered, true, false, false, 0, 1, 0, 0 },
        { "another's or a cut body", "answered", 1, ClientEnd::Answered, false, false, false, 0, 0, 1, 0 },
        { "said not to have run, but ran", "not-run", 1, ClientEnd::Answered, true, false, false, 0, 0, 0, 1 },
        { "cut by the entry", "", 1, ClientEnd::Broken, false, false, false, 1, 0, 0, 0 },
        { "never answered by the entry", "", 1, ClientEnd::TimedOut, false, false, false, 1, 0, 0, 0 },
        { "an answer without an outcome", "", 1, ClientEnd::Answered, false, true, false, 1, 0, 0, 0 },
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        auto verdict = verdictOf(test);
        CHECK(verdict.lost == test.lost);
        CHECK(verdict.doubled == test.doubled);
        CHECK(verdict.wrongBody == test.wrongBody);
        CHECK(verdict.ranThoughNotRun == test.ranThoughNotRun);
        CHECK(verdict.held() == (test.lost + test.doubled + test.wrongBody + test.ranThoughNotRun == 0));
    }
}

TEST_CASE("work begun at a leaving server is late after three seconds from the first sign")
{
    const struct {
        int runMs;
        std::uint64_t late;
    } cases[] { { 500, 0 }, { 3900, 0 }, { 4001, 1 } };
    for (const auto& test : cases) {
        Ledger ledger;
        ledger.signedOff(7, at(1000));
        ledger.signedOff(7, at(3500)); // a later sign gives no more time
        ledger.ran("id", { .server = 7, .at = at(test.runMs) });
        ledger.ran("other", { .server = 8, .at = at(9000) });
        CHECK(check({}, ledger, { .probeBudgets = {} }).lateToLeaving == test.late);
    }
}

TEST_CASE("probes are counted in every window of one second")
{
    const struct {
        int probes;
        int everyMs;
        bool held;
    } cases[] { { 40, 100, true }, { 21, 40, false }, { 20, 1, true }, { 21, 1, false } };
    for (const auto& test : cases) {
        Ledger ledger;
        for (int i = 0; i < test.probes; ++i)
            ledger.probed("s", at(i * test.everyMs));
        CHECK(check({}, ledger, { .probeBudgets = { { .service = "s", .perSecond = 10 } } }).held() == test.held);
    }
}
