#pragma once

#include "Decisions/ServerState.h"

namespace Decisions {

// What is usual in a pool.
struct PoolUsual {
    double answerMs = 5; // median unloaded answer time
    double loadPerSlot = 0.5; // mean reported load
};

// A server's estimated work now: its report, aged towards the pool's mean, and our own requests sent since.
double estimatedInFlight(const ServerState&, Common::TimePoint now, const PoolUsual&);

// How many times the unloaded time an answer takes with `inFlight` requests ahead.
double loadFactor(double inFlight, int slots);

struct ServerScore {
    double answerMs = 0; // expected; the lower, the better
    double loadFactor = 1;
};

ServerScore scoreServer(const ServerState&, Common::TimePoint now, const PoolUsual&);

}
