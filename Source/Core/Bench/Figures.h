#pragma once

#include "Bench/Fleet.h"
#include "Bench/ScenarioRun.h"

namespace Bench {

// Latency of one route's calls that were not refused, of one service or (below 0) of all.
RouteLatency latencyOf(const std::vector<CallRecord>&, Route, int service = -1);

// How late the load began its calls, at p99, in ms.
double lagP99(const std::vector<CallRecord>&);

ServiceSummary summarize(std::size_t service, const Deployment&, const LoadResult&, Fleet&, double seconds);

// The p99 that the oracle reaches with the same arrivals, work and faults, in ms; 0 where calls call on.
double oracleP99Ms(const Deployment&, const Plan&, const LoadResult&, const Fleet&);

}
