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
