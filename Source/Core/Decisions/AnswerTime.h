#pragma once

#include "Common/Clock.h"

namespace Decisions {

// Moving averages of one server's response times: a recent one that follows sudden changes and a long-term one for the
// server's own speed. Without new samples the recent average decays to the long-term one, and the long-term one to the
// pool's typical response time.
class AnswerTime {
public:
    void learn(double ms, Common::TimePoint now, double usualMs);
    // `usualMs` is the pool's typical response time, returned while there are no samples.
    double expectedMs(Common::TimePoint now, double usualMs) const;
    // The long-term average alone.
    double longTermMs(Common::TimePoint now, double usualMs) const;
    int samples() const { return m_samples; }

private:
    double m_recentMs = 0;
    double m_longTermMs = 0;
    int m_samples = 0;
    Common::TimePoint m_sampledAt;
};

}
