#pragma once

#include <array>
#include <cstdint>

#include "Common/Clock.h"

namespace Decisions {

struct AdmissionOptions {
    double maxShareOfTimeLeft = 0.5; // a call is refused when its estimated time exceeds this share of the time to its deadline
    Common::Duration maxEstimate = std::chrono::seconds(2); // or when it exceeds this, whatever the deadline
    Common::Duration minRetryAfter = std::chrono::milliseconds(100); // lower bound of AdmissionDecision::retryAfter
};

struct AdmissionRequest {
    Common::TimePoint now;
    Common::Duration timeLeft {}; // until the call's deadline
    int slots = 1; // this entry's share of the slots of all backend servers of the service
    Common::Duration medianAnswerTime {}; // of recent answers; zero: unknown
};

struct AdmissionDecision {
    bool admitted = false;
    Common::Duration retryAfter {}; // of a refused call: when enough calls in flight are expected to have ended
};

// Admission control for one service at one entry. Estimates a call's time as calls in flight divided by the rate of answers
// (Little's law), and refuses a call that could not be answered in time before it loads a backend server. Not thread-safe.
class Admission {
public:
    explicit Admission(AdmissionOptions options = {});

    // An admitted call counts as in flight until finish(), which must be called once for it.
    AdmissionDecision admit(const AdmissionRequest&);
    void finish(Common::TimePoint now, bool answered);

    int inFlight() const { return m_inFlight; }
    // Whether more calls are in flight than there are slots, or a call was refused within the last second.
    bool overloaded(Common::TimePoint now, int slots) const;

private:
    static constexpr auto bucketTime = std::chrono::milliseconds(100);
    static constexpr std::size_t buckets = 10;

    void advance(Common::TimePoint now);
    double answersPerSecond() const;

    AdmissionOptions m_options;
    std::array<std::uint32_t, buckets> m_answers {}; // ring of answer counts per bucket
    std::int64_t m_bucket = 0; // number of the current bucket since the epoch
    int m_inFlight = 0;
    Common::TimePoint m_lastRefusal = Common::TimePoint::min();
};

}
