#pragma once

#include "Decisions/ServerState.h"

namespace Decisions {

// Typical latency and load of the servers of one pool.
struct PoolBaseline {
    double latencyMs = 5; // median latency without load
    double loadPerSlot = 0.5; // mean of the reported in-flight requests per slot
};

// Estimated requests in flight on a server now: its last load report, decayed towards the pool's mean, plus this entry's own
// requests sent since. At least this entry's own open requests.
double estimatedInFlight(const ServerState&, Common::TimePoint now, const PoolBaseline&);

// Expected latency with `inFlight` requests ahead, as a multiple of the latency without load.
double loadFactor(double inFlight, int slots);

struct ServerScore {
    double latencyMs = 0; // expected; the lowest is preferred
    double loadFactor = 1;
};

ServerScore scoreServer(const ServerState&, Common::TimePoint now, const PoolBaseline&);

}
