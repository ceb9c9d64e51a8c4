#pragma once

#include <cstddef>
#include <span>

#include "Common/Clock.h"

namespace Decisions {

// Load and health of one backend server, as known when a request is placed.
struct ServerSignal {
    int running = 0; // requests being processed, as reported
    int waiting = 0; // requests queued, as reported
    int slots = 1; // requests that the server processes concurrently
    int unreported = 0; // requests sent from here since the last report
    double workFactor = 1; // ratio of the current processing time to the usual one, as reported
    double slowness = 1; // ratio of recent response times to the expected ones
    double failureShare = 0; // of its recent responses, 0 to 1
    bool sameDomain = true; // in this process's failure domain
    bool healthy = true; // self-reported
    bool cold = false; // started recently, still warming up
};

// Parameters of the placement cost, which is in milliseconds of response time.
struct PlacementOptions {
    double kneeShare = 0.8; // share of the slots in use beyond which all work on a server slows down (users' service sheets)
    double kneeFactor = 1.7; // slowdown beyond that share (users' service sheets)
    double coldFactor = 2; // slowdown of a server in its first seconds (users' service sheets)
    double crossDomainCostMs = 20; // cost of traffic between failure domains
    double failureCostMs = 600; // cost of a certain failure: about one more attempt, or a lost response
    double unhealthyCostMs = 1000; // finite: a server that reports itself unhealthy may still be the best one left
};

// Placement cost of a request with `workMs` of unloaded processing time: expected response time plus the costs of crossing
// failure domains, of failures and of poor health. Intended for pools whose speed and load change within milliseconds, so
// signals should be only a few milliseconds old.
double placementCostMs(const ServerSignal&, double workMs, const PlacementOptions&);

// Ranking penalty, in milliseconds, for a server to which no free connection is open. Falls with the time since the last contact, so
// that a server which was slow once is tried again also while others serve all requests. It falls more slowly the more gateways there
// are, since each of them opens its own connections.
double newConnectionCostMs(Common::Duration sinceContact, int gatewayCount);

// Expected response time alone, in milliseconds.
double expectedResponseMs(const ServerSignal&, double workMs, const PlacementOptions&);

// Whether the server would start a request at once and at its usual speed, so that the search for a server can stop.
bool startsAtUsualSpeed(const ServerSignal&, const PlacementOptions&);

// Whether a server may be given one more request of this priority (0 is the most urgent). Beyond the knee a further request may lower
// the server's total throughput: near the pool's capacity, a pool that fills all slots then serves fewer requests in time than one
// that refuses some, and only requests of priority 0 may use the slots beyond the knee. A server of two slots gets more done with
// both in use.
bool hasCapacity(const ServerSignal&, int priority, const PlacementOptions&);

// Index of the signal with the lowest placement cost; 0 for an empty span.
std::size_t bestServer(std::span<const ServerSignal>, double workMs, const PlacementOptions&);

}
