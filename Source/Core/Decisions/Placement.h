#pragma once

#include <cstddef>
#include <span>

namespace Decisions {

// What is known of one backend server at the moment of a choice.
struct ServerSignal {
    int running = 0; // requests at work, as reported
    int waiting = 0; // requests in its queue, as reported
    int slots = 1;
    int unreported = 0; // own requests sent since the report
    double workFactor = 1; // how many times its usual time work takes at this moment, as reported
    double slowness = 1; // how many times the expected time its answers took of late
    double failureShare = 0; // of its recent answers, 0 to 1
    bool sameDomain = true;
    bool healthy = true; // its own word
    bool cold = false; // started a moment ago
};

// What a choice weighs against what, in milliseconds of the caller's waiting.
struct PlacementOptions {
    double kneeShare = 0.8; // of the slots in use, from which on all work of a server slows down (users' service sheets)
    double kneeFactor = 1.7; // by how much (users' service sheets)
    double coldFactor = 2; // of a server's work in its first seconds (users' service sheets)
    double noiseMs = 150; // half of the time for which a neighbour's load lasts (users' service sheets)
    double otherDomainMs = 20; // price of the bytes that cross failure domains
    double failureMs = 600; // of a certain failure: about one more try, or a lost answer
    double unhealthyMs = 1000; // a server that says it is ill may still be the best one left
};

// Expected milliseconds until a server has answered a request of `workMs` unloaded work, with all that the choice weighs.
// Made for pools in which speed and load change within milliseconds: signals are expected to be a few milliseconds old.
double expectedMs(const ServerSignal&, double workMs, const PlacementOptions&);

// The same without the prices: what the caller will wait.
double expectedWaitMs(const ServerSignal&, double workMs, const PlacementOptions&);

// Whether a server would start the request at once, at its usual speed: no better one needs to be looked for.
bool isComfortable(const ServerSignal&, const PlacementOptions&);

// Whether a server may be given one more request of this priority (0 is the most urgent). Made for loads near the pool's
// capacity: from the knee on a server does less work in all with each request more, so that a pool that fills all slots
// serves fewer in time than one that turns some away. Only the most urgent requests go beyond it.
bool hasRoom(const ServerSignal&, int priority, const PlacementOptions&);

// Index of the best signal; 0 for an empty span.
std::size_t bestServer(std::span<const ServerSignal>, double workMs, const PlacementOptions&);

}
