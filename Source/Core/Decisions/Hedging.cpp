#include "Decisions/Hedging.h"

#include <algorithm>

namespace Decisions {

Hedging::Hedging(HedgingOptions options)
    : m_options(options)
{
}

void Hedging::onCall()
{
    m_tokens = std::min(m_options.maxTokens, m_tokens + m_options.tokensPerCall);
}

std::optional<Common::Duration> Hedging::delay() const
{
    auto time = m_times.quantile(m_options.quantile, m_options.minSamples);
    return time ? std::optional(std::max(*time, m_options.minDelay)) : std::nullopt;
}

bool Hedging::take()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

}
