#include "Decisions/Retry.h"

#include <algorithm>

namespace Decisions {

RetryVerdict retryVerdict(const RetryInputs& inputs)
{
    if (inputs.attempts >= inputs.maxAttempts || !inputs.timeLeft || !mayRetry(inputs.end, inputs.idempotent))
        return RetryVerdict::Stop;
    // A malformed request fails on every server, and a caller that has disconnected needs no answer.
    if (inputs.end.fault == AttemptFault::Malformed && !inputs.sent)
        return RetryVerdict::Stop;
    if (inputs.end.fault == AttemptFault::Cancelled)
        return RetryVerdict::Stop;
    if (!inputs.sent)
        return RetryVerdict::Free;
    return inputs.outerRetries > 0 ? RetryVerdict::Stop : RetryVerdict::Budgeted;
}

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_tokens(options.maxTokens)
{
}

bool RetryBudget::take(Common::TimePoint now)
{
    if (m_refilledAt != Common::TimePoint())
        earn(m_options.tokensPerSecond * std::chrono::duration<double>(std::max(now - m_refilledAt, Common::Duration::zero())).count());
    m_refilledAt = std::max(now, m_refilledAt);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

void RetryBudget::earn(double tokens)
{
    m_tokens = std::min(m_options.maxTokens, m_tokens + tokens);
}

}
