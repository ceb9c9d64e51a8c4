#include "Decisions/Admission.h"

#include <algorithm>
#include <numeric>

namespace Decisions {

namespace {

    double seconds(Common::Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

}

Admission::Admission(AdmissionOptions options)
    : m_options(options)
{
}

AdmissionDecision Admission::admit(const AdmissionRequest& request)
{
    advance(request.now);
    auto slots = std::max(request.slots, 1);
    auto allowed = std::min<Common::Duration>(
        Common::fromMilliseconds(Common::toMilliseconds(request.timeLeft) * m_options.maxShareOfTimeLeft),
        m_options.maxEstimate);
    // While slots are free a call does not wait, and refusing it could leave the service without any measurement.
    if (m_inFlight >= slots) {
        // After a time of low load the answer rate is below what the servers can deliver.
        auto rateOfSlots = request.medianAnswerTime > Common::Duration::zero() ? slots / seconds(request.medianAnswerTime) : 0.0;
        auto rate = std::max(answersPerSecond(), rateOfSlots);
        auto estimate = rate > 0 ? Common::fromMilliseconds(1000 * (m_inFlight + 1) / rate) : Common::Duration::zero();
        if (estimate > allowed) {
            m_lastRefusal = request.now;
            return { .admitted = false, .retryAfter = std::max(estimate - allowed, m_options.minRetryAfter) };
        }
    }
    ++m_inFlight;
    return { .admitted = true };
}

void Admission::finish(Common::TimePoint now, bool answered)
{
    advance(now);
    m_inFlight = std::max(0, m_inFlight - 1);
    if (answered)
        ++m_answers[static_cast<std::size_t>(m_bucket) % buckets];
}

bool Admission::overloaded(Common::TimePoint now, int slots) const
{
    return m_inFlight > slots || (m_lastRefusal != Common::TimePoint::min() && now - m_lastRefusal < bucketTime * buckets);
}

void Admission::advance(Common::TimePoint now)
{
    auto bucket = std::max<std::int64_t>(now.time_since_epoch() / bucketTime, m_bucket);
    for (auto steps = std::min<std::int64_t>(bucket - m_bucket, buckets); steps > 0; --steps)
        m_answers[static_cast<std::size_t>(bucket - steps + 1) % buckets] = 0;
    m_bucket = bucket;
}

double Admission::answersPerSecond() const
{
    // The current bucket is incomplete, which lowers the rate and errs on the side of refusing.
    return std::accumulate(m_answers.begin(), m_answers.end(), 0.0) / seconds(bucketTime * buckets);
}

}
