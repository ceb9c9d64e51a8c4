#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Bench/Deployment.h"
#include "Bench/HttpClient.h"
#include "Common/Clock.h"

namespace Bench {

struct LoadService {
    std::string name;
    double callsPerSecond = 1000;
    std::vector<CallKind> calls;
};

// Arrivals are `factor` times as many for `length`, once in every `period`; the average over quiet times is unchanged.
struct Burst {
    double factor = 1;
    Common::Duration length = std::chrono::milliseconds(200);
    Common::Duration period = std::chrono::seconds(2);
};

// How a call reaches a backend server.
enum class Route {
    Entry,
    Direct, // straight to one, in turn
    Relay, // through a bare relay without decisions
};

struct LoadOptions {
    std::vector<std::string> entries; // ip:port, where callers begin to ask for the directory
    int failureDomains = 1; // callers in each
    std::vector<LoadService> services;
    Common::Duration duration = std::chrono::seconds(1);
    Burst burst {};
    int deadlineMs = 2000;
    int loops = 4; // threads
    std::uint64_t seed = 1;
    bool useDirectory = true;
    bool resendUnknown = false; // claims without an answer are sent once more, with the same id, through another entry
    std::vector<std::string> direct; // backend servers for the direct route; empty: none
    std::string relay {}; // ip:port; empty: none
    Common::Duration slice = std::chrono::milliseconds(100); // routes take turns; the others' turns must not outlast the entry's freshness of kept connections
    std::string idPrefix = "call";
};

// What became of one call, as its caller saw it.
struct CallRecord {
    std::string id;
    int service = 0; // index into LoadOptions::services
    int kind = 0; // index into the service's calls
    Route route = Route::Entry;
    ClientEnd end = ClientEnd::NotConnected;
    int status = 0; // 0: no answer
    std::string outcome; // Cowslipledge-Outcome; empty without one
    int result = 0; // Cowslipledge-Result
    int attempts = 0;
    bool ownBody = false; // whole and its own
    bool resent = false;
    int connectFailures = 0; // addresses tried that took no connection
    Common::TimePoint intended;
    Common::Duration latency {}; // from the intended time
    Common::Duration lag {}; // how late the call was begun
};

struct LoadResult {
    std::vector<CallRecord> calls;
    std::vector<LoadService> services;
    std::size_t connections = 0; // opened by callers
};

// Open-loop load: arrivals do not wait for answers, and latency is counted from the intended time.
// `atStart` is told the time from which the schedule of faults counts.
LoadResult runLoad(const LoadOptions&, const std::function<void(Common::TimePoint)>& atStart = nullptr);

// The value at quantile q of the durations, in milliseconds; 0 of none.
double quantileMs(std::vector<Common::Duration>, double q);

}
