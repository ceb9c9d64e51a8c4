#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

#include "Decisions/AnswerTime.h"
#include "Decisions/DrainState.h"
#include "Decisions/Ejection.h"
#include "Decisions/ServerSpec.h"
#include "Decisions/SlowStart.h"

namespace Decisions {

// An attempt of this entry that has not ended yet.
struct OpenRequest {
    std::uint64_t number = 0;
    Common::TimePoint sentAt;
    double loadFactor = 1; // expected latency when it was sent, as a multiple of the latency without load
};

// What one entry knows about one backend server.
struct ServerState {
    // Position of a server that is not eligible.
    static constexpr auto noPosition = std::numeric_limits<std::size_t>::max();

    ServerSpec spec;
    std::uint64_t id = 0; // in order of joining; breaks ties where the order must be reproducible
    bool present = true; // false: removed from the pool, kept until its last open request has ended
    std::size_t position = noPosition; // in ServerChoice's list of eligible servers
    std::uint64_t tieBreak = 0; // least-in-flight: order among servers with as many open requests
    double virtualDeadline = 0; // adaptive: when it is due, in the virtual time of weighted round-robin

    std::vector<OpenRequest> openRequests; // oldest first
    Common::TimePoint latestAnsweredSentAt; // send time of the most recently sent request that was answered

    AnswerTime answerTime; // without load
    std::optional<LoadReport> report;
    Common::TimePoint reportedAt;
    int slots = 1;

    DrainState drain;
    SlowStart slowStart;
    FailureHistory failures;
    EjectionState ejection;
    Common::TimePoint slowSince; // when its latency became an outlier; zero: it is not one

    Common::TimePoint lastResponseAt; // to a request or a load probe
    Common::TimePoint lastProbeAt; // when it was sent
    bool probeInFlight = false;

    int inFlight() const { return static_cast<int>(openRequests.size()); }
    bool leaving() const { return spec.leaving || drain.draining(); }
    bool eligible() const { return present && !leaving() && !ejection.ejected; }
};

// Removes and returns the open request with this number; no value when there is none.
std::optional<OpenRequest> removeOpenRequest(ServerState&, std::uint64_t number);

// Age in ms of the oldest open request that was not sent before an answered one; 0 when there is none. A request that later
// ones have overtaken is slow itself and says nothing about the server.
double oldestOpenRequestAgeMs(const ServerState&, Common::TimePoint now);

}
