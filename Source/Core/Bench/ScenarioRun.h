#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Bench/OperatorRace.h"
#include "Bench/Scenario.h"
#include "Bench/Verdict.h"

namespace Bench {

struct RunOptions {
    std::string scenario = "steady";
    std::string deployment = "small";
    std::string policy = "adaptive";
    std::string goal; // empty: the deployment's
    std::uint64_t seed = 1;
    int seconds = 5;
};

// Figures of one route; in ms, from the intended time, over the calls that were not refused.
struct RouteLatency {
    std::uint64_t calls = 0;
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
};

struct ServiceSummary {
    std::string name;
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    RouteLatency latency;
    double probesPerSecond = 0;
    double probeBudget = 0;
    double probeCostShare = 0; // of the servers' slots
};

// What one run of a scenario showed.
struct RunReport {
    RunOptions options;
    Verdict verdict;
    RouteLatency entry;
    RouteLatency direct;
    RouteLatency relay;
    std::vector<ServiceSummary> services;
    double ownP99Ms = 0;
    double ownCpuP99Ms = 0; // 0: not measured
    double lagP99Ms = 0; // how late the load began its calls
    std::uint64_t retries = 0; // counted by the entries that were up at the end
    std::uint64_t hedges = 0; // likewise
    double workFactor = 0; // requests at backend servers over calls
    double configInForceMs = 0;
    double storeReadsPerSecond = 0;
    int configReverts = 0; // times an entry was seen to go back to an older revision
    OperatorRaceResult operators;
    int forcedStops = 0; // graceful shutdowns that did not end by themselves
    double goodput = 0; // answered calls over the servers' capacity
    double oracleP99Ms = 0; // bound: one queue for all servers, the fastest free slot first
    std::uint64_t baselineCalls = 0; // direct and relayed
    std::uint64_t connectFailures = 0; // entry addresses that took no connection
    int mostConnections = 0; // at any backend server
    std::uint64_t connectionsRefused = 0; // by backend servers at their limit
    std::vector<std::string> reasons; // why it is not ok

    bool ok() const { return reasons.empty(); }
};

// Runs a scenario; progress goes to standard error. An unknown name or a start that fails is a reason in the report.
RunReport runScenario(const RunOptions&);

// One line of JSON.
std::string reportJson(const RunReport&);
// A table of all services for people.
std::string summaryTable(const RunReport&);

}
