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

// A request of this entry that a server has not answered yet.
struct OpenRequest {
    std::uint64_t number = 0;
    Common::TimePoint sentAt;
    double loadFactor = 1; // how much longer than unloaded the answer was expected to take
};

// All that one entry knows of one backend server.
struct ServerState {
    static constexpr auto nowhere = std::numeric_limits<std::size_t>::max();

    ServerSpec spec;
    std::uint64_t id = 0; // order of joining, for orders that must not depend on addresses in memory
    bool present = true; // false: dropped from the pool, kept until its last request has ended
    std::size_t position = nowhere; // in the list of servers that take work
    std::uint64_t tieBreak = 0; // its place among servers with as many open requests
    double turn = 0; // when it is due, in the virtual time of weighted round-robin

    std::vector<OpenRequest> open; // oldest first
    Common::TimePoint latestAnsweredSentAt; // when the youngest request answered so far was sent

    AnswerTime answerTime; // as if unloaded
    std::optional<LoadReport> report;
    Common::TimePoint reportedAt;
    int slots = 1;

    DrainState drain;
    SlowStart slowStart;
    FailureEvidence failures;
    EjectionState ejection;
    Common::TimePoint slowSince; // when it became an outlier; zero: it is none

    Common::TimePoint heardAt; // the latest answer to a call or probe
    Common::TimePoint probedAt; // the latest probe sent
    bool probing = false;

    int inFlight() const { return static_cast<int>(open.size()); }
    bool leaving() const { return spec.leaving || drain.draining(); }
    bool takesWork() const { return present && !leaving() && !ejection.ejected; }
};

// Removes the open request with this number; nothing when there is none.
std::optional<OpenRequest> closeRequest(ServerState&, std::uint64_t number);

// Age of the oldest open request that no younger one has overtaken, in ms: a long request among answered ones speaks of
// that request, not of the server.
double openAgeMs(const ServerState&, Common::TimePoint now);

}
