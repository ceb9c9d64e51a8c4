#pragma once

#include <cstddef>

#include "Common/Clock.h"
#include "Decisions/AttemptOutcome.h"

namespace Decisions {

enum class EjectionReason {
    Failures, // attempts end without an answer, or with a server error
    Refused, // connections are refused
    Slow, // answers take many times the pool's usual time
    Stuck, // open requests grow old and nothing is answered
};

// What an attempt's end says of the server's health. A shed request speaks of load only, and an attempt that had no
// connection, or was cancelled, speaks of neither.
enum class HealthSign {
    None,
    Good,
    Failed,
    Refused,
};

// `overdue`: the attempt took several times the usual; a time-out before that speaks of the caller's deadline.
HealthSign healthSign(const AttemptEnd&, bool overdue);

// Failures of one server, in a row and as a decayed ratio.
class FailureEvidence {
public:
    void add(HealthSign, Common::TimePoint now);
    // Another entry ejected the server: half of what is needed here too.
    void suspect(Common::TimePoint now);
    void clear();
    bool enough() const;
    // How much worse the server is to be taken for, from 1.
    double penalty(Common::TimePoint now) const;
    bool suspicious(Common::TimePoint now) const;

private:
    int m_inARow = 0;
    double m_good = 0;
    double m_failed = 0;
    Common::TimePoint m_at;
};

// A server's ejections so far.
struct EjectionState {
    bool ejected = false;
    EjectionReason reason = EjectionReason::Failures;
    Common::TimePoint until;
    int times = 0; // in succession
};

// How long an ejection lasts: it doubles with each in succession; `unit` in [0, 1) varies it, so that entries and
// servers do not come back together.
Common::Duration ejectionTime(int times, double unit);
// Whether an ejection follows closely enough on the last one to count as its successor.
bool ejectedAgain(const EjectionState&, Common::TimePoint now);
// How many of `servers` may be ejected at once.
std::size_t mostEjected(std::size_t servers);

// Limits of slowness, against the pool's usual answer time in ms.
bool outlierSlow(double answerMs, double usualMs);
bool stuck(double openAgeMs, double usualMs);

}
