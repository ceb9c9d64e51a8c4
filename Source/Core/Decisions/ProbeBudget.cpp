#include "Decisions/ProbeBudget.h"

#include <algorithm>
#include <cmath>

namespace Decisions {

namespace {

    constexpr double capacity = 1; // probes
    constexpr Common::Duration sendWindow = std::chrono::milliseconds(100); // for a probe that is available, before it expires
    constexpr auto settleTime = std::chrono::seconds(3); // in which membership counts the carriers

    double seconds(Common::Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

}

ProbeBudget::ProbeBudget(Common::TimePoint start, double phase)
    : m_refilledTo(start + settleTime)
    , m_tokens(-phase)
{
}

void ProbeBudget::setRate(double probesPerSecond, const CarrierShare& share, Common::TimePoint now)
{
    // The time before this call counts at the old rate.
    refill(now);
    auto divisor = std::max({ 1, share.maxRecentCarriers, share.carriers });
    m_rate = share.carries ? probesPerSecond / divisor : 0;
}

bool ProbeBudget::take(Common::TimePoint now)
{
    if (!has(now))
        return false;
    m_tokens -= 1;
    return true;
}

bool ProbeBudget::has(Common::TimePoint now)
{
    refill(now);
    return m_tokens >= 1;
}

void ProbeBudget::refill(Common::TimePoint now)
{
    if (now <= m_refilledTo)
        return;
    m_tokens += m_rate * seconds(now - m_refilledTo);
    // A probe that is not sent within its window expires, and the phase stays. Saved probes of all entries would be sent
    // together as soon as all of them see the same reason to probe.
    if (auto most = capacity + m_rate * seconds(sendWindow); m_tokens > most)
        m_tokens -= std::floor(m_tokens);
    m_refilledTo = now;
}

}
