#pragma once

#include <optional>

#include "Common/Clock.h"

namespace Decisions {

// Bounds for reading the store and for relay election. A large fleet is one of at least `largeFleetSize` gateways.
struct RelayElectionOptions {
    // Age of the store data held by the standby relay above which it reads the store directly.
    Common::Duration standbyMaxAge = std::chrono::milliseconds(900);
    // The same for every other gateway that is not the leader.
    Common::Duration followerMaxAge = std::chrono::milliseconds(1300);
    // Direct reads stop once a relay has sent fresh updates for this long.
    Common::Duration settleTime = std::chrono::milliseconds(700);
    // Time without fresh updates from the leader after which the standby becomes the leader.
    Common::Duration standbyElectionTimeout = std::chrono::milliseconds(500);
    // Time without fresh updates from any relay after which a follower becomes the leader, before its random delay.
    Common::Duration followerElectionTimeout = std::chrono::milliseconds(1200);
    // Upper bound of that random delay, which keeps followers from starting an election at the same time.
    Common::Duration electionJitter = std::chrono::milliseconds(1200);
    // Age above which preferred candidates of a large fleet read the store directly.
    Common::Duration candidateMaxAge = std::chrono::milliseconds(1200);
    // The same for reserve candidates.
    Common::Duration reserveMaxAge = std::chrono::milliseconds(1350);
    // Age above which other gateways of a large fleet ask reserve candidates for updates; they have read the store by then.
    Common::Duration askReserveAge = std::chrono::milliseconds(1600);
    // While relays cannot reach the store, followers of a large fleet spread their first reads over a period that has this
    // length for each gateway.
    Common::Duration outageReadInterval = std::chrono::milliseconds(50);
    // Upper bound of that period.
    Common::Duration maxOutageReadSpread = std::chrono::seconds(10);
    // Number of gateways from which outage reads are spread and preferred candidates read first. Reads by a smaller fleet are no
    // burden on the store.
    int largeFleetSize = 60;
    // Additional delay of a gateway's election while a member with far more processor share may become the leader first.
    Common::Duration smallerMemberDelay = std::chrono::milliseconds(1000);
    // Time that another gateway of a large fleet, once it reaches the store, leaves preferred candidates to become the leader.
    Common::Duration candidateTimeout = std::chrono::milliseconds(1500);
    // Time that relays have to reach a store again that was unreachable for all gateways.
    Common::Duration storeRecoveryTimeout = std::chrono::milliseconds(2000);
    // If the data are older than followerMaxAge plus this when a gateway starts to read the store, the store is taken to have been
    // unreachable for all.
    Common::Duration outageMargin = std::chrono::milliseconds(700);
    // Factor for the random delay where it is certain that the present relays cannot reach the store.
    double relayOutageJitterFactor = 0.25;
    // Time that a starting gateway waits for others to send the data that it lacks before it reads the store.
    Common::Duration startReadDelay = std::chrono::milliseconds(80);
    // Period after the start in which a gateway that is no seed stops direct reads as soon as its data is complete and fresh.
    Common::Duration startPeriod = std::chrono::seconds(4);
    // Time that a starting gateway waits for seeds to send the relay list before it reads the list from the store.
    Common::Duration relayListTimeout = std::chrono::milliseconds(1000);
    // Delay between one seed and the next when they read the relay list themselves.
    Common::Duration seedInterval = std::chrono::milliseconds(150);
};

enum class RelayRole {
    Leader, // relay that reads the store for all gateways
    Standby, // relay that follows the leader and replaces it
    Follower, // any other gateway
};

// What a gateway knows when it decides whether to read the store and whether to become the leader.
struct RelayElectionInputs {
    Common::TimePoint now {};
    Common::TimePoint started {};
    RelayRole role = RelayRole::Follower;
    bool relayListKnown = false; // and not empty
    bool complete = false; // configuration and registry are known
    Common::Duration age {}; // of the store data held here
    bool relayed = false; // a relay sends fresh updates
    Common::TimePoint relayStatusSince {}; // when `relayed` last changed
    int seedIndex = -1; // position in the list of seeds; -1: not a seed
    double jitter = 0; // uniform in [0, 1), drawn once per process
    bool reading = false; // reads the store directly
    bool storeAnswers = false; // to direct reads
    std::optional<Common::Duration> storeRecoveredFor {}; // time since the store answered this gateway again; empty: it never failed
    bool relayAnswers = false; // some relay answers requests for updates, even with old data
    int gatewayCount = 1; // in the fleet
    bool fleetSizeKnown = true; // some relay has told it; if not, `gatewayCount` counts only those that made contact here
    bool largerMemberKnown = false; // another gateway has far more processor share
    bool preferredCandidate = false; // see isPreferredCandidate()
    bool reserveCandidate = false; // see isReserveCandidate()
    Common::Duration ageWhenReadingStarted {}; // age of the store data when the current run of direct reads started; zero if there were none
    Common::Duration storeReadsFreshFor {}; // time since the current run of direct reads first brought both tables
};

// Whether a gateway is a preferred candidate: one of the first two of its failure domain by processor share, `larger` of which
// come before it. Few gateways that watch the relays closely let a large fleet replace them soon without all reading the store.
inline bool isPreferredCandidate(int larger)
{
    return larger < 2;
}

// The same for those that follow: they stand in if the relays and the preferred candidates have all lost the store, while it
// serves others.
inline bool isReserveCandidate(int larger)
{
    return !isPreferredCandidate(larger) && larger < 6;
}

// Whether to read the store directly now. While the store answers, data never gets older than followerMaxAge, unless a relay
// answers without newer data: then the relay cannot reach the store, and a few gateways check whether that holds for all.
bool shouldReadStore(const RelayElectionInputs&, const RelayElectionOptions&);

// Whether to read the relay list from the store now, and to become the leader if the list has not changed.
bool shouldBecomeLeader(const RelayElectionInputs&, const RelayElectionOptions&);

}
