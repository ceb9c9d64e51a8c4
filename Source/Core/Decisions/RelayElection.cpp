#include "Decisions/RelayElection.h"

#include <algorithm>

namespace Decisions {

namespace {

    Common::Duration scaled(Common::Duration duration, double factor)
    {
        return Common::fromMilliseconds(factor * Common::toMilliseconds(duration));
    }

}

bool shouldReadStore(const RelayElectionInputs& inputs, const RelayElectionOptions& options)
{
    if (inputs.role == RelayRole::Leader)
        return true;
    auto isStarting = !inputs.complete && inputs.now - inputs.started < options.startReadDelay;
    if (isStarting)
        return false;
    auto isLargeFleet = inputs.gatewayCount >= options.largeFleetSize;
    auto maxAge = options.followerMaxAge;
    if (inputs.role == RelayRole::Standby)
        maxAge = options.standbyMaxAge;
    else if (isLargeFleet && inputs.preferredCandidate)
        maxAge = options.candidateMaxAge;
    else if (isLargeFleet && inputs.reserveCandidate)
        maxAge = std::min(maxAge, options.reserveMaxAge);
    else if (isLargeFleet && inputs.complete && inputs.relayAnswers && !inputs.reading)
        maxAge += scaled(std::min<Common::Duration>(options.outageReadInterval * inputs.gatewayCount, options.maxOutageReadSpread), inputs.jitter);
    if (inputs.age > maxAge)
        return true;
    if (!inputs.complete)
        return true;
    // Gateways that start together would otherwise all go on reading until they have found the relay.
    // Seeds go on, since one of them may have to become the leader.
    if (!inputs.reading || (inputs.now - inputs.started < options.startPeriod && inputs.seedIndex < 0))
        return false;
    // Direct reads keep the age low by themselves, so they end only after a relay has sent fresh updates for a while.
    return !inputs.relayed || inputs.now - inputs.relayStatusSince < options.settleTime;
}

bool shouldBecomeLeader(const RelayElectionInputs& inputs, const RelayElectionOptions& options)
{
    if (inputs.role == RelayRole::Leader)
        return false;
    auto delay = scaled(options.electionJitter, inputs.jitter) + (inputs.largerMemberKnown ? options.smallerMemberDelay : Common::Duration::zero());
    auto isSeed = inputs.seedIndex >= 0;
    if (!inputs.relayListKnown) {
        auto wait = isSeed ? inputs.seedIndex * options.seedInterval : options.relayListTimeout + delay;
        return inputs.now - inputs.started >= wait;
    }
    // The leader has to reach the store.
    if (inputs.relayed || !inputs.reading || !inputs.storeAnswers)
        return false;
    auto timeWithoutRelay = inputs.now - inputs.relayStatusSince;
    // A store that was unreachable for all gateways becomes reachable for the relays too, which then need no replacement. This
    // gateway may not have seen it fail, if its first read came after the outage.
    auto recoveryTimeout = options.storeRecoveryTimeout + (inputs.role == RelayRole::Standby ? Common::Duration::zero() : delay);
    if (inputs.storeRecoveredFor && *inputs.storeRecoveredFor < recoveryTimeout)
        return false;
    auto startedAfterOutage = inputs.ageWhenReadingStarted > options.followerMaxAge + options.outageMargin;
    if (startedAfterOutage && inputs.storeReadsFreshFor < recoveryTimeout)
        return false;
    if (inputs.role == RelayRole::Standby)
        return timeWithoutRelay > options.standbyElectionTimeout;
    // In a large fleet, preferred candidates go first, whatever became of the relays: others could not serve it. Relays that have
    // no capacity for a starting gateway don't tell it how large the fleet is, and then it is likely to be large.
    auto mayBeLarge = inputs.gatewayCount >= options.largeFleetSize || !inputs.fleetSizeKnown;
    if (mayBeLarge && !inputs.preferredCandidate)
        return std::min(inputs.storeReadsFreshFor, timeWithoutRelay) > options.candidateTimeout + delay;
    // Relays that answer without fresh updates have lost the store, which this gateway reaches: there is no reason to wait for
    // them.
    if (inputs.relayAnswers)
        return timeWithoutRelay > options.standbyElectionTimeout + scaled(delay, options.relayOutageJitterFactor);
    // All gateways know the seeds, so after a restart of the whole fleet a seed is found first.
    if (isSeed)
        return timeWithoutRelay > options.standbyElectionTimeout + inputs.seedIndex * options.seedInterval;
    return timeWithoutRelay > options.followerElectionTimeout + delay;
}

}
