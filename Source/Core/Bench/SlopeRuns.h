#pragma once

#include <vector>

#include "Bench/Slope.h"

namespace Bench {

struct SlopeOptions {
    int services = 630;
    int servers = 19'000; // the largest count, over all services
    int connections = 1000; // the largest count of callers' connections
    int secondsPerRate = 3; // of load, for each rate of calls
};

// Measures on this machine what an entry's state and work cost as they grow; prints progress to standard error.
std::vector<Slope> measureSlopes(const SlopeOptions&);

}
