#include "Decisions/RelayElection.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace {

using Decisions::RelayElectionInputs;
using Decisions::RelayRole;
using std::chrono::milliseconds;

const Common::TimePoint start(std::chrono::hours(1));
const Decisions::RelayElectionOptions options;

RelayElectionInputs inputsAt(int ms, RelayElectionInputs inputs)
{
    inputs.started = start;
    inputs.now = start + milliseconds(ms);
    return inputs;
}

struct Case {
    std::string name;
    RelayElectionInputs inputs;
    bool readsStore;
    bool becomesLeader;
};

const Case cases[] = {
    { "a gateway that has just started waits for data from others",
        inputsAt(40, { .jitter = 0.5 }),
        false, false },
    { "a starting gateway without data reads the store after the start delay",
        inputsAt(100, { .jitter = 0.5 }),
        true, false },
    { "the first seed reads the relay list at once",
        inputsAt(10, { .seedIndex = 0 }),
        false, true },
    { "the second seed waits one seed interval",
        inputsAt(10, { .seedIndex = 1 }),
        false, false },
    { "a gateway that no seed has sent the relay list becomes the leader",
        inputsAt(1700, { .complete = true, .jitter = 0.5 }),
        false, true },
    { "a starting gateway that is no seed stops direct reads once its data is complete",
        inputsAt(900, { .complete = true, .age = milliseconds(500), .jitter = 0.9, .reading = true, .storeAnswers = true }),
        false, false },
    { "a follower with fresh updates from a relay does not read",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(700), .relayed = true, .relayStatusSince = start }),
        false, false },
    { "a follower with data above the maximum age reads",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(1400), .relayStatusSince = start + milliseconds(8000), .jitter = 0.5 }),
        true, false },
    { "the leader always reads",
        inputsAt(9000, { .role = RelayRole::Leader, .relayListKnown = true, .complete = true, .age = milliseconds(10) }),
        true, false },
    { "the standby reads at a lower age than followers",
        inputsAt(9000, { .role = RelayRole::Standby, .relayListKnown = true, .complete = true, .age = milliseconds(1000), .relayStatusSince = start + milliseconds(8800) }),
        true, false },
    { "the standby becomes the leader",
        inputsAt(9000, { .role = RelayRole::Standby, .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayStatusSince = start + milliseconds(8400), .reading = true, .storeAnswers = true }),
        true, true },
    { "a standby that cannot reach the store does not become the leader",
        inputsAt(9000, { .role = RelayRole::Standby, .relayListKnown = true, .complete = true, .age = milliseconds(3000), .relayStatusSince = start + milliseconds(5000), .reading = true, .storeAnswers = false }),
        true, false },
    { "a follower becomes the leader after its timeout and random delay",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayStatusSince = start + milliseconds(6500), .jitter = 0.5, .reading = true, .storeAnswers = true }),
        true, true },
    { "a follower goes on reading until a relay has sent fresh updates for the settle time",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayed = true, .relayStatusSince = start + milliseconds(8500), .reading = true, .storeAnswers = true }),
        true, false },
    { "large fleet, relays without fresh updates: a follower with a short random delay reads",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(1400), .relayStatusSince = start + milliseconds(8000), .jitter = 0.001, .relayAnswers = true, .gatewayCount = 200 }),
        true, false },
    { "large fleet, relays without fresh updates: a follower with a longer random delay does not read yet",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(1400), .relayStatusSince = start + milliseconds(8000), .jitter = 0.5, .relayAnswers = true, .gatewayCount = 200 }),
        false, false },
    { "large fleet, relays without fresh updates: every follower reads in the end",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(6400), .relayStatusSince = start + milliseconds(2000), .jitter = 0.5, .relayAnswers = true, .gatewayCount = 200 }),
        true, false },
    { "large fleet, relays without fresh updates: the standby reads without a random delay",
        inputsAt(9000, { .role = RelayRole::Standby, .relayListKnown = true, .complete = true, .age = milliseconds(1000), .relayStatusSince = start + milliseconds(8800), .jitter = 0.9, .relayAnswers = true, .gatewayCount = 200 }),
        true, false },
    { "a follower that knows a member with more processor share delays its election",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayStatusSince = start + milliseconds(6500), .jitter = 0.5, .reading = true, .storeAnswers = true, .largerMemberKnown = true }),
        true, false },
    { "a follower becomes the leader if no member with more processor share has",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayStatusSince = start + milliseconds(6000), .jitter = 0.5, .reading = true, .storeAnswers = true, .largerMemberKnown = true }),
        true, true },
    { "relays that cannot reach the store are replaced by a gateway that can",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayStatusSince = start + milliseconds(8000), .jitter = 0.9, .reading = true, .storeAnswers = true, .relayAnswers = true }),
        true, true },
    { "small fleet, relays without fresh updates: a follower reads without a random delay",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(1400), .relayStatusSince = start + milliseconds(8000), .jitter = 0.5, .relayAnswers = true, .gatewayCount = 20 }),
        true, false },
    { "a seed becomes the leader soon after relays have failed",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayStatusSince = start + milliseconds(8200), .seedIndex = 1, .reading = true, .storeAnswers = true }),
        true, true },
    { "relays get time to reach a store that was unreachable for all gateways",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayStatusSince = start + milliseconds(2000), .jitter = 0.1, .reading = true, .storeAnswers = true, .storeRecoveredFor = milliseconds(500), .relayAnswers = true }),
        true, false },
    { "relays that do not reach a recovered store in time are replaced",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayStatusSince = start + milliseconds(2000), .jitter = 0.1, .reading = true, .storeAnswers = true, .storeRecoveredFor = milliseconds(2500), .relayAnswers = true }),
        true, true },
    { "a starting seed goes on reading and becomes the leader while no relay sends updates",
        inputsAt(900, { .relayListKnown = true, .complete = true, .age = milliseconds(300), .relayStatusSince = start + milliseconds(100), .seedIndex = 1, .reading = true, .storeAnswers = true }),
        true, true },
    { "large fleet: a preferred candidate reads at a lower age than followers",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(1250), .relayStatusSince = start + milliseconds(8300), .jitter = 0.9, .relayAnswers = true, .gatewayCount = 200, .preferredCandidate = true }),
        true, false },
    { "large fleet: a preferred candidate replaces relays that cannot reach the store",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayStatusSince = start + milliseconds(8000), .jitter = 0.9, .reading = true, .storeAnswers = true, .relayAnswers = true, .gatewayCount = 200, .preferredCandidate = true }),
        true, true },
    { "large fleet: another gateway leaves the election to preferred candidates first",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayStatusSince = start + milliseconds(6000), .jitter = 0.1, .reading = true, .storeAnswers = true, .relayAnswers = true, .gatewayCount = 200, .largerMemberKnown = true, .storeReadsFreshFor = milliseconds(1400) }),
        true, false },
    { "large fleet: another gateway becomes the leader if no preferred candidate has in time",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayStatusSince = start + milliseconds(6000), .jitter = 0.1, .reading = true, .storeAnswers = true, .relayAnswers = true, .gatewayCount = 200, .largerMemberKnown = true, .storeReadsFreshFor = milliseconds(2700) }),
        true, true },
    { "large fleet: a gateway that has been reading for long leaves a new relay time to answer",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayStatusSince = start + milliseconds(8500), .jitter = 0.1, .reading = true, .storeAnswers = true, .relayAnswers = true, .gatewayCount = 200, .largerMemberKnown = true, .storeReadsFreshFor = milliseconds(6000) }),
        true, false },
    { "a starting gateway that no relay has had capacity for leaves the relays time, as in a large fleet",
        inputsAt(2700, { .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayStatusSince = start, .jitter = 0.1, .reading = true, .storeAnswers = true, .relayAnswers = true, .gatewayCount = 20, .fleetSizeKnown = false, .storeReadsFreshFor = milliseconds(200) }),
        false, false },
    { "a starting gateway that no relay has had capacity for becomes the leader in the end",
        inputsAt(5000, { .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayStatusSince = start, .jitter = 0.1, .reading = true, .storeAnswers = true, .relayAnswers = true, .gatewayCount = 20, .fleetSizeKnown = false, .storeReadsFreshFor = milliseconds(2500) }),
        true, true },
    { "a gateway whose first read follows a long outage leaves the relays time to recover too",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(10), .relayStatusSince = start + milliseconds(4000), .seedIndex = 2, .reading = true, .storeAnswers = true, .ageWhenReadingStarted = milliseconds(5200), .storeReadsFreshFor = milliseconds(80) }),
        true, false },
    { "a gateway that has reached the store for long enough after an outage replaces relays that have not recovered",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(10), .relayStatusSince = start + milliseconds(2000), .seedIndex = 0, .reading = true, .storeAnswers = true, .ageWhenReadingStarted = milliseconds(4400), .storeReadsFreshFor = milliseconds(2500) }),
        true, true },
    { "large fleet, no relay answers: another gateway leaves the election to preferred candidates first",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(10), .relayStatusSince = start + milliseconds(6500), .jitter = 0.1, .reading = true, .storeAnswers = true, .gatewayCount = 200, .largerMemberKnown = true, .storeReadsFreshFor = milliseconds(600) }),
        true, false },
    { "a follower stops reading once a relay has sent fresh updates for the settle time",
        inputsAt(9000, { .relayListKnown = true, .complete = true, .age = milliseconds(100), .relayed = true, .relayStatusSince = start + milliseconds(7500), .reading = true, .storeAnswers = true }),
        false, false },
};

}

TEST_CASE("which gateways read the store and which becomes the leader")
{
    for (const auto& row : cases) {
        CAPTURE(row.name);
        CHECK(Decisions::shouldReadStore(row.inputs, options) == row.readsStore);
        CHECK(Decisions::shouldBecomeLeader(row.inputs, options) == row.becomesLeader);
    }
}
