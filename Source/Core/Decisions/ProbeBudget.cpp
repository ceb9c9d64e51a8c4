#include "Decisions/ProbeBudget.h"

#include <algorithm>
#include <cmath>

namespace Decisions {

namespace {

    constexpr double capacity = 1; // probes
    constexpr Common::Duration turnLength = std::chrono::milliseconds(100);
    constexpr auto settleTime = std::chrono::seconds(3);

    double seconds(Common::Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

}

ProbeBudget::ProbeBudget(Common::TimePoint start, double phase)
    : m_filledTo(start + settleTime)
    , m_tokens(-phase)
{
}

void ProbeBudget::setRate(double probesPerSecond, const CarrierShare& share, Common::TimePoint now)
{
    // What was earned at the old rate is settled first.
    fill(now);
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
    fill(now);
    return m_tokens >= 1;
}

void ProbeBudget::fill(Common::TimePoint now)
{
    if (now <= m_filledTo)
        return;
    m_tokens += m_rate * seconds(now - m_filledTo);
    // A probe not sent in its turn is lost, and the turns keep their phase: saved ones of all entries would meet as soon as
    // all see the same reason to probe.
    if (auto most = capacity + m_rate * seconds(turnLength); m_tokens > most)
        m_tokens -= std::floor(m_tokens);
    m_filledTo = now;
}

}
