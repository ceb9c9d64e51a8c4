#pragma once

#include "Common/Clock.h"
#include "Decisions/CarrierShare.h"

namespace Decisions {

// This entry's part of one service's probe budget: a token bucket that fills with time alone and holds one probe. It starts
// empty, and only starts to fill once membership has had time to count the carriers. Over all entries together any window
// of W seconds then sees at most budget * W probes and one more for each entry; docs/design/probing.md.
class ProbeBudget {
public:
    // `phase` in [0, 1) spreads the probes of entries that start together.
    explicit ProbeBudget(Common::TimePoint start, double phase = 0);

    // Probes a second for the whole service, and this entry's share of them.
    void setRate(double probesPerSecond, const CarrierShare&, Common::TimePoint now);
    // Takes one probe; false when there is none to take.
    bool take(Common::TimePoint now);
    bool has(Common::TimePoint now);

private:
    void fill(Common::TimePoint now);

    Common::TimePoint m_filledTo;
    double m_rate = 0; // probes a second
    double m_tokens = 0;
};

}
