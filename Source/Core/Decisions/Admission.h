#pragma once

#include <array>
#include <cstdint>

#include "Common/Clock.h"

namespace Decisions {

struct AdmissionOptions {
    double waitShare = 0.5; // of a call's time left that waiting and work may take by the estimate
    Common::Duration maxWait = std::chrono::seconds(2); // whatever the deadline
    Common::Duration minRetryAfter = std::chrono::milliseconds(100);
};

// What a call brings to the decision.
struct AdmissionRequest {
    Common::TimePoint now;
    Common::Duration timeLeft {};
    int slots = 1; // this entry's part of the slots of all backend servers of the service
    Common::Duration usualTime {}; // the median answer time of late; zero: not known
};

struct AdmissionAnswer {
    bool admitted = false;
    Common::Duration retryAfter {}; // where refused: when the queue will have shortened enough
};

// Bounds one service's calls in flight at one entry by the time they would take: calls in flight over the rate at which calls
// end. What cannot be answered in time is refused before it costs a backend server anything. Not thread-safe.
class Admission {
public:
    explicit Admission(AdmissionOptions options = {});

    // Counts the call as in flight when admitted; finish() must then be called once.
    AdmissionAnswer admit(const AdmissionRequest&);
    void finish(Common::TimePoint now, bool answered);

    int inFlight() const { return m_inFlight; }
    // More is in flight than the backend servers work on at once, or a call was refused within the last second.
    bool overloaded(Common::TimePoint now, int slots) const;

private:
    static constexpr auto bucketTime = std::chrono::milliseconds(100);
    static constexpr std::size_t buckets = 10;

    void advance(Common::TimePoint now);
    double answersPerSecond() const;

    AdmissionOptions m_options;
    std::array<std::uint32_t, buckets> m_answers {}; // by time, a ring
    std::int64_t m_bucket = 0; // number of the current one
    int m_inFlight = 0;
    Common::TimePoint m_lastRefusal = Common::TimePoint::min();
};

}
