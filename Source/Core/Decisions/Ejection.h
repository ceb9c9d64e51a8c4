#pragma once

#include <cstddef>

#include "Common/Clock.h"
#include "Decisions/AttemptOutcome.h"

namespace Decisions {

enum class EjectionReason {
    Failures, // attempts ended without an answer, or with a server error
    Refused, // connections were refused
    Slow, // latency is many times the pool's baseline
    Stuck, // open requests age and none is answered
};

// What the end of an attempt shows about the server's health. A request that the server shed shows its load only, and an
// attempt that was given no connection to use or was cancelled shows nothing: both give None.
enum class HealthSignal {
    None,
    Good,
    Failed,
    Refused,
};

// `overdue`: the attempt took many times the pool's baseline latency. A timeout before that is due to the caller's deadline.
HealthSignal healthSignal(const AttemptEnd&, bool overdue);

// Recent failures of one server: consecutive ones, and an exponentially decayed failure ratio.
class FailureHistory {
public:
    void add(HealthSignal, Common::TimePoint now);
    // Another entry ejected the server: counts for half of the consecutive failures that eject it here.
    void suspectByHint(Common::TimePoint now);
    void clear();
    // Whether the failures are enough to eject the server.
    bool limitReached() const;
    // Factor on the server's expected latency, 1 without failures.
    double penalty(Common::TimePoint now) const;
    bool isSuspect(Common::TimePoint now) const;

private:
    int m_consecutive = 0;
    double m_good = 0;
    double m_failed = 0;
    Common::TimePoint m_at;
};

// A server's current ejection and the count of consecutive ones.
struct EjectionState {
    bool ejected = false;
    EjectionReason reason = EjectionReason::Failures;
    Common::TimePoint until;
    int consecutive = 0;
};

// Duration of an ejection: doubles with each consecutive one, up to a limit. A random `jitter` in [0, 1) lengthens it by up to
// a quarter, so that several servers are not readmitted at the same moment, nor one server by all entries.
Common::Duration ejectionDuration(int consecutive, double jitter);
// Whether an ejection now follows soon enough on the last one to count as consecutive.
bool isRepeatedEjection(const EjectionState&, Common::TimePoint now);
// How many of `servers` may be ejected at the same time.
std::size_t maxEjected(std::size_t servers);

// Whether a server's latency, or the age of its oldest open request, is far above the pool's baseline latency (all in ms).
bool isLatencyOutlier(double latencyMs, double baselineMs);
bool isStuck(double oldestOpenRequestAgeMs, double baselineMs);

}
