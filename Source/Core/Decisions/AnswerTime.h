#pragma once

#include "Common/Clock.h"

namespace Decisions {

// Moving averages of one server's answer times: a recent one for sudden changes, a long-term one for the server's own
// speed. Without news the recent one falls back to the long-term one, and that one to what is usual in the pool.
class AnswerTime {
public:
    void learn(double ms, Common::TimePoint now, double usualMs);
    // `usualMs` is the pool's typical answer time; it is the answer while nothing is known.
    double expectedMs(Common::TimePoint now, double usualMs) const;
    // The same without sudden changes.
    double longTermMs(Common::TimePoint now, double usualMs) const;
    int samples() const { return m_samples; }

private:
    double m_recentMs = 0;
    double m_longTermMs = 0;
    int m_samples = 0;
    Common::TimePoint m_at;
};

}
