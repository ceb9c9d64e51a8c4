#pragma once

#include <cstdint>
#include <string>

namespace Soak {

inline constexpr int maxGateways = 200; // each needs ports and an IP address of its own
inline constexpr int maxDomains = 26;

struct SoakOptions {
    std::uint64_t seed = 1;
    int seconds = 20; // of faults
    int gateways = 3;
    int servers = 4;
    int domains = 2; // failure domains of gateways and servers
    int callers = 8;
    bool drills = false; // also restores the store from copies, and lets servers leave or ask for pauses
    bool cuts = false; // also cuts gateways off from all servers
    bool oddAnswers = false; // also lets servers answer long uploads early and send odd heads
    bool organisations = false; // also has API keys, limits, evacuations and cold servers
    std::string program; // path of the shipped binary
    // That of an older version: gateways are replaced by one of the other version, back and forth. Even seeds begin with the older version
    // on all, odd ones with the newer one. Empty: none.
    std::string oldProgram;
    std::string folder; // for settings and logs; removed when the run was good
};

// Runs gateways as processes under faults drawn from the seed and checks the promises from what callers and servers saw.
// Prints what was broken and one line of JSON; returns whether nothing was.
bool runSoak(const SoakOptions&);

}
