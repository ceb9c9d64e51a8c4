#pragma once

#include <vector>

#include "Bench/Faults.h"
#include "Common/Clock.h"

namespace Bench {

struct OracleServer {
    int slots = 4;
    double speed = 1;
    std::vector<Fault> faults; // of this server
};

struct OracleCall {
    Common::Duration at {}; // from the start of the load
    Common::Duration work {}; // at speed 1
};

// A bound for any policy: all calls wait in one queue, in order, and the one in front takes a free slot of the server that
// is the fastest at that moment; servers that are down take none. Calls ascend by time; returns their latencies in that order.
std::vector<Common::Duration> oracleLatencies(const std::vector<OracleServer>&, const std::vector<OracleCall>&);

// How many times as long work takes that begins at `at`; 0 while the server takes none.
double slownessAt(const OracleServer&, Common::Duration at);

}
