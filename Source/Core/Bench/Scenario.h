#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Bench/Deployment.h"
#include "Bench/Faults.h"
#include "Bench/LoadGenerator.h"

namespace Bench {

// What must come true beside the promises, which always must.
struct Expectation {
    double leastAnswered = 0.99; // share of calls
    double mostUnknown = 0; // share of calls
    bool entriesMayDie = false; // a call may end without any answer
    double leastGoodput = 0; // answered calls over the capacity of the servers
    double mostWorkFactor = 0; // requests at backend servers over those that callers' calls need; 0: any
    int mostConnectFailures = -1; // callers sent to an entry that took no connection; below 0: any
};

// One scenario made concrete: load, faults and what is expected.
struct Plan {
    double load = 0.7; // share of the servers' capacity, bursts not counted
    double callsPerSecond = 0; // of the first service, instead of `load`; 0: by load
    Burst burst {};
    std::vector<Fault> faults;
    double sizeRatio = 1; // largest over smallest server of a pool
    Common::Duration serviceTime {}; // zero: the deployment's
    bool fixedServiceTime = false;
    int deadlineMs = 2000;
    bool resendUnknown = false;
    bool baselines = false; // direct and relayed slices between the entry's
    int depth = 0; // calls that call on, so many servers deep
    int operators = 0; // that race one another for a record
    int failureDomains = 1; // the fewest that the scenario makes sense with
    Common::Duration instancesLag = std::chrono::seconds(2);
    int directoryTtlMs = 1000;
    double mostLagMs = 25; // at p99; above it the load no longer comes as planned, and its figures would speak of the machine
    Expectation expectation;
};

struct PlanInput {
    const Deployment& deployment;
    std::uint64_t seed = 1;
    Common::Duration duration = std::chrono::seconds(5);
};

struct Scenario {
    std::string_view name;
    std::string_view summary;
    Plan (*plan)(const PlanInput&) = nullptr;
};

std::span<const Scenario> scenarios();
// Null when there is none of that name.
const Scenario* findScenario(std::string_view name);

// Backend servers of one service, by number over the whole deployment.
std::vector<int> serversOf(const Deployment&, std::size_t service);
// Some servers of each service, drawn by the seed: at least one and about `share` of them.
std::vector<int> drawServers(const PlanInput&, double share);

}
