#pragma once

#include "Common/Clock.h"
#include "Decisions/CarrierShare.h"

namespace Decisions {

// This entry's part of one service's probe budget: a token bucket that refills by time alone and holds one probe. It starts
// empty and refills only after membership has had time to count the carriers. Over all entries together, any window of W
// seconds therefore has at most budget * W probes plus one for each entry; see docs/design/probing.md.
class ProbeBudget {
public:
    // `phase` in [0, 1) is a fraction of one probe interval: it spreads the probes of entries that start together.
    explicit ProbeBudget(Common::TimePoint start, double phase = 0);

    // Sets the probes per second of the whole service and this entry's share of them.
    void setRate(double probesPerSecond, const CarrierShare&, Common::TimePoint now);
    // Takes one probe; false when none is available.
    bool take(Common::TimePoint now);
    bool has(Common::TimePoint now);

private:
    void refill(Common::TimePoint now);

    Common::TimePoint m_refilledTo;
    double m_rate = 0; // probes per second
    double m_tokens = 0;
};

}
