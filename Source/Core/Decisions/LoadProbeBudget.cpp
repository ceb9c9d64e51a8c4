#include "Decisions/LoadProbeBudget.h"

#include <algorithm>
#include <cmath>

namespace Decisions {

namespace {

    // Time constant of the average of the selection rate.
    constexpr double selectionRateTimeConstantS = 1.5;

}

void LoadProbeBudget::setRate(double rate, Common::TimePoint now)
{
    refill(now);
    m_rate = m_options.rateShare * rate;
    if (!m_started && rate > 0) {
        m_tokens = m_rate * m_options.startBurstS;
        m_started = true;
    }
}

void LoadProbeBudget::refill(Common::TimePoint now)
{
    auto elapsed = std::max(0.0, std::chrono::duration<double>(now - m_refilledAt).count());
    m_refilledAt = now;
    m_tokens = std::min(m_tokens + m_rate * std::min(elapsed, m_options.burstS), m_rate * m_options.burstS);
    m_selectionRate *= std::exp(-elapsed / selectionRateTimeConstantS);
}

double LoadProbeBudget::beginServerSelection(Common::TimePoint now)
{
    refill(now);
    m_selectionRate += 1 / selectionRateTimeConstantS;
    auto sustained = m_rate / std::max(1.0, m_selectionRate); // probes for each selection that the rate allows
    auto fullness = m_rate > 0 ? m_tokens / (m_rate * m_options.burstS) : 0;
    // From half of the sustained number with no tokens left to 2.5 times that number with a full budget.
    return std::clamp(sustained * (0.5 + 2 * fullness), m_options.minPerSelection, m_options.maxPerSelection);
}

std::size_t LoadProbeBudget::take(std::size_t wanted, Common::TimePoint now)
{
    refill(now);
    auto n = std::min(wanted, static_cast<std::size_t>(std::max(0.0, m_tokens)));
    m_tokens -= static_cast<double>(n);
    return n;
}

}
