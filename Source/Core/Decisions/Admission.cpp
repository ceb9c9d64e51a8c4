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

AdmissionAnswer Admission::admit(const AdmissionRequest& request)
{
    advance(request.now);
    auto slots = std::max(request.slots, 1);
    auto allowed = std::min<Common::Duration>(Common::fromMilliseconds(Common::toMilliseconds(request.timeLeft) * m_options.waitShare), m_options.maxWait);
    // Below its part of the slots a call waits for nobody; refusing it could leave the service without any measurement.
    if (m_inFlight >= slots) {
        // After a quiet time few answers were seen although the servers could give more.
        auto byTime = request.usualTime > Common::Duration::zero() ? slots / seconds(request.usualTime) : 0.0;
        auto rate = std::max(answersPerSecond(), byTime);
        auto wait = rate > 0 ? Common::fromMilliseconds(1000 * (m_inFlight + 1) / rate) : Common::Duration::zero();
        if (wait > allowed) {
            m_lastRefusal = request.now;
            return { .admitted = false, .retryAfter = std::max(wait - allowed, m_options.minRetryAfter) };
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
    // The current bucket is not whole yet: it only counts what it has, which errs to the side of refusing.
    return std::accumulate(m_answers.begin(), m_answers.end(), 0.0) / seconds(bucketTime * buckets);
}

}
