#include "Decisions/NewsDuty.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace {

using Decisions::NewsFacts;
using Decisions::NewsRole;
using std::chrono::milliseconds;

const Common::TimePoint start(std::chrono::hours(1));
const Decisions::NewsDutyOptions options;

NewsFacts factsAt(int ms, NewsFacts facts)
{
    facts.started = start;
    facts.now = start + milliseconds(ms);
    return facts;
}

struct Case {
    std::string what;
    NewsFacts facts;
    bool reads;
    bool leads;
};

const Case cases[] = {
    { "just started: others may tell", factsAt(40, { .jitter = 0.5 }), false, false },
    { "nobody told", factsAt(100, { .jitter = 0.5 }), true, false },
    { "the first seed looks who relays at once", factsAt(10, { .seedIndex = 0 }), false, true },
    { "the second seed a moment later", factsAt(10, { .seedIndex = 1 }), false, false },
    { "no seed told who relays", factsAt(1700, { .complete = true, .jitter = 0.5 }), false, true },
    { "one look does at a start", factsAt(900, { .complete = true, .age = milliseconds(500), .jitter = 0.9, .reading = true, .storeAnswers = true }), false, false },
    { "follows", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(700), .relayed = true, .relayedSince = start }), false, false },
    { "news too old", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(1400), .relayedSince = start + milliseconds(8000), .jitter = 0.5 }), true, false },
    { "the leading relay always reads", factsAt(9000, { .role = NewsRole::Leading, .rosterKnown = true, .complete = true, .age = milliseconds(10) }), true, false },
    { "the standby sooner than others", factsAt(9000, { .role = NewsRole::Standby, .rosterKnown = true, .complete = true, .age = milliseconds(1000), .relayedSince = start + milliseconds(8800) }), true, false },
    { "the standby takes over", factsAt(9000, { .role = NewsRole::Standby, .rosterKnown = true, .complete = true, .age = milliseconds(100), .relayedSince = start + milliseconds(8400), .reading = true, .storeAnswers = true }), true, true },
    { "but not without the store", factsAt(9000, { .role = NewsRole::Standby, .rosterKnown = true, .complete = true, .age = milliseconds(3000), .relayedSince = start + milliseconds(5000), .reading = true, .storeAnswers = false }), true, false },
    { "a follower takes over after a while", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(100), .relayedSince = start + milliseconds(6500), .jitter = 0.5, .reading = true, .storeAnswers = true }), true, true },
    { "goes on reading until a relay has been reliable", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(100), .relayed = true, .relayedSince = start + milliseconds(8500), .reading = true, .storeAnswers = true }), true, false },
    { "a relay answers, without fresh news: some look at the store", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(1400), .relayedSince = start + milliseconds(8000), .jitter = 0.001, .relayAnswers = true, .entries = 200 }), true, false },
    { "and the others wait for those", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(1400), .relayedSince = start + milliseconds(8000), .jitter = 0.5, .relayAnswers = true, .entries = 200 }), false, false },
    { "but not for ever", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(6400), .relayedSince = start + milliseconds(2000), .jitter = 0.5, .relayAnswers = true, .entries = 200 }), true, false },
    { "nor does the standby", factsAt(9000, { .role = NewsRole::Standby, .rosterKnown = true, .complete = true, .age = milliseconds(1000), .relayedSince = start + milliseconds(8800), .jitter = 0.9, .relayAnswers = true, .entries = 200 }), true, false },
    { "a larger entry may take the lead first", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(100), .relayedSince = start + milliseconds(6500), .jitter = 0.5, .reading = true, .storeAnswers = true, .largerKnown = true }), true, false },
    { "but none did", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(100), .relayedSince = start + milliseconds(6000), .jitter = 0.5, .reading = true, .storeAnswers = true, .largerKnown = true }), true, true },
    { "relays that lost the store are replaced by whoever reaches it", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(100), .relayedSince = start + milliseconds(8000), .jitter = 0.9, .reading = true, .storeAnswers = true, .relayAnswers = true }), true, true },
    { "in a small fleet nobody waits for others' looks", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(1400), .relayedSince = start + milliseconds(8000), .jitter = 0.5, .relayAnswers = true, .entries = 20 }), true, false },
    { "a seed soon takes the place of relays that are gone", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(100), .relayedSince = start + milliseconds(8200), .seedIndex = 1, .reading = true, .storeAnswers = true }), true, true },
    { "the store was away for all: the relays will reach it too", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(100), .relayedSince = start + milliseconds(2000), .jitter = 0.1, .reading = true, .storeAnswers = true, .storeBackFor = milliseconds(500), .relayAnswers = true }), true, false },
    { "but they do not", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(100), .relayedSince = start + milliseconds(2000), .jitter = 0.1, .reading = true, .storeAnswers = true, .storeBackFor = milliseconds(2500), .relayAnswers = true }), true, true },
    { "after a start one look does, but a seed goes on until somebody relays", factsAt(900, { .rosterKnown = true, .complete = true, .age = milliseconds(300), .relayedSince = start + milliseconds(100), .seedIndex = 1, .reading = true, .storeAnswers = true }), true, true },
    { "a deputy of a large fleet looks sooner", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(1250), .relayedSince = start + milliseconds(8300), .jitter = 0.9, .relayAnswers = true, .entries = 200, .deputy = true }), true, false },
    { "and replaces relays that have lost the store", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(100), .relayedSince = start + milliseconds(8000), .jitter = 0.9, .reading = true, .storeAnswers = true, .relayAnswers = true, .entries = 200, .deputy = true }), true, true },
    { "another entry leaves that to deputies", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(100), .relayedSince = start + milliseconds(6000), .jitter = 0.1, .reading = true, .storeAnswers = true, .relayAnswers = true, .entries = 200, .largerKnown = true, .freshFor = milliseconds(1400) }), true, false },
    { "as long as they do", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(100), .relayedSince = start + milliseconds(6000), .jitter = 0.1, .reading = true, .storeAnswers = true, .relayAnswers = true, .entries = 200, .largerKnown = true, .freshFor = milliseconds(2700) }), true, true },
    { "and stops then", factsAt(9000, { .rosterKnown = true, .complete = true, .age = milliseconds(100), .relayed = true, .relayedSince = start + milliseconds(7500), .reading = true, .storeAnswers = true }), false, false },
};

}

TEST_CASE("Who reads the store and who takes the lead")
{
    for (const auto& row : cases) {
        CAPTURE(row.what);
        CHECK(Decisions::shouldRead(row.facts, options) == row.reads);
        CHECK(Decisions::shouldTakeLead(row.facts, options) == row.leads);
    }
}
