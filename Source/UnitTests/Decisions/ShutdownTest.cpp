#include "Decisions/Shutdown.h"

#include <doctest/doctest.h>

namespace {

using Decisions::ShutdownPhase;
using std::chrono::milliseconds;

constexpr Decisions::ShutdownOptions options { .directoryTtl = milliseconds(1000), .closeGrace = milliseconds(500), .limit = milliseconds(5000) };

struct Step {
    int atMs;
    int callsInFlight;
    int connections;
    ShutdownPhase phase;
};

struct Case {
    const char* name;
    std::vector<Step> steps;
};

const Case cases[] = {
    { "without calls, all phases follow by time and the last is Stopped",
        {
            { 0, 0, 0, ShutdownPhase::Leaving },
            { 999, 0, 0, ShutdownPhase::Leaving },
            { 1000, 0, 0, ShutdownPhase::Closing },
            { 1500, 0, 0, ShutdownPhase::Stopped },
        } },
    { "Draining lasts while a call is in flight",
        {
            { 1500, 1, 1, ShutdownPhase::Draining },
            { 4999, 1, 1, ShutdownPhase::Draining },
            { 5000, 0, 0, ShutdownPhase::Stopped },
        } },
    { "Draining lasts while an idle connection is open",
        {
            { 1500, 0, 3, ShutdownPhase::Draining },
            { 1600, 0, 0, ShutdownPhase::Stopped },
        } },
    { "with calls in flight at the limit, the shutdown is Forced",
        {
            { 1500, 2, 2, ShutdownPhase::Draining },
            { 5000, 1, 1, ShutdownPhase::Forced },
            { 5001, 0, 0, ShutdownPhase::Forced },
        } },
    { "Leaving lasts for the directory TTL, even without calls",
        {
            { 100, 0, 0, ShutdownPhase::Leaving },
            { 900, 0, 0, ShutdownPhase::Leaving },
        } },
};

}

TEST_CASE("phases of a graceful shutdown")
{
    for (const auto& row : cases) {
        CAPTURE(row.name);
        Decisions::Shutdown shutdown(options);
        Common::TimePoint start;
        CHECK(shutdown.advance(start, 0, 0) == ShutdownPhase::Serving);
        shutdown.begin(start);
        for (const auto& step : row.steps) {
            CAPTURE(step.atMs);
            CHECK(shutdown.advance(start + milliseconds(step.atMs), step.callsInFlight, step.connections) == step.phase);
        }
    }
}

TEST_CASE("a forced shutdown ends at once, as Forced only with calls in flight")
{
    for (int callsInFlight : { 0, 1 }) {
        Decisions::Shutdown shutdown(options);
        shutdown.begin({});
        shutdown.force();
        CHECK(shutdown.advance({}, callsInFlight, 1) == (callsInFlight == 0 ? ShutdownPhase::Stopped : ShutdownPhase::Forced));
    }
}

namespace {

struct UnsentCase {
    const char* name;
    Decisions::UnsentCall call;
    milliseconds timeLeft;
    bool isCompleted;
};

const UnsentCase unsentCases[] = {
    { "usual work, seconds left", { .expected = milliseconds(400), .allowed = milliseconds(4000) }, milliseconds(4000), true },
    { "as slow as a busy host makes it, and the response has to be read", { .expected = milliseconds(400), .allowed = milliseconds(4000) }, milliseconds(1800), true },
    { "a slow server would not be ready", { .expected = milliseconds(400), .allowed = milliseconds(4000) }, milliseconds(1799), false },
    { "the deadline comes first", { .expected = milliseconds(1400), .allowed = milliseconds(1000) }, milliseconds(1200), true },
    { "long work, cut before its deadline", { .expected = milliseconds(1400), .allowed = milliseconds(4000) }, milliseconds(4000), false },
    { "the rest of the body may take until the deadline", { .expected = milliseconds(100), .allowed = milliseconds(3000), .isWhole = false }, milliseconds(3000), false },
    { "the rest of the body has until the deadline", { .expected = milliseconds(100), .allowed = milliseconds(3000), .isWhole = false }, milliseconds(3200), true },
    { "nothing left", { .expected = milliseconds(1), .allowed = milliseconds(1) }, milliseconds(0), false },
};

}

// Guards against calls that are sent to a server late in a planned stop and are cut off at its end.
TEST_CASE("A call is sent to a server during a shutdown only if also a slow one answers it before the end")
{
    for (const auto& row : unsentCases) {
        CAPTURE(row.name);
        CHECK(Decisions::completesWithin(row.timeLeft, row.call) == row.isCompleted);
    }
}
