#include "Decisions/QuestionBudget.h"

#include <algorithm>
#include <cmath>

namespace Decisions {

namespace {

    // Over which the rate of choices is averaged.
    constexpr double choiceMemoryS = 1.5;

}

void QuestionBudget::setRate(double rate, Common::TimePoint now)
{
    fill(now);
    m_rate = m_options.margin * rate;
    if (!m_started && rate > 0) {
        m_tokens = m_rate * m_options.startS;
        m_started = true;
    }
}

void QuestionBudget::fill(Common::TimePoint now)
{
    auto elapsed = std::max(0.0, std::chrono::duration<double>(now - m_filledAt).count());
    m_filledAt = now;
    m_tokens = std::min(m_tokens + m_rate * std::min(elapsed, m_options.savedS), m_rate * m_options.savedS);
    m_choiceRate *= std::exp(-elapsed / choiceMemoryS);
}

double QuestionBudget::beginChoice(Common::TimePoint now)
{
    fill(now);
    m_choiceRate += 1 / choiceMemoryS;
    auto sustained = m_rate / std::max(1.0, m_choiceRate);
    auto fullness = m_rate > 0 ? m_tokens / (m_rate * m_options.savedS) : 0;
    return std::clamp(sustained * (0.5 + 2 * fullness), m_options.least, m_options.most);
}

std::size_t QuestionBudget::take(std::size_t wanted, Common::TimePoint now)
{
    fill(now);
    auto n = std::min(wanted, static_cast<std::size_t>(std::max(0.0, m_tokens)));
    m_tokens -= static_cast<double>(n);
    return n;
}

}
