#include "Decisions/Retry.h"

#include <algorithm>

namespace Decisions {

RetryVerdict retryVerdict(const RetryFacts& facts)
{
    if (facts.attempts >= facts.maxAttempts || !facts.timeLeft || !mayTryAgain(facts.end, facts.idempotent))
        return RetryVerdict::Stop;
    // A request that is not well-formed is so for every server; a caller that has gone needs no other one.
    if (facts.end.fault == AttemptFault::Malformed && !facts.sent)
        return RetryVerdict::Stop;
    if (facts.end.fault == AttemptFault::Cancelled)
        return RetryVerdict::Stop;
    if (!facts.sent)
        return RetryVerdict::Free;
    return facts.outerRetries > 0 ? RetryVerdict::Stop : RetryVerdict::Budgeted;
}

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_tokens(options.limit)
{
}

bool RetryBudget::take(Common::TimePoint now)
{
    if (m_earnedUntil != Common::TimePoint())
        earn(m_options.perSecond * std::chrono::duration<double>(std::max(now - m_earnedUntil, Common::Duration::zero())).count());
    m_earnedUntil = std::max(now, m_earnedUntil);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

void RetryBudget::earn(double tokens)
{
    m_tokens = std::min(m_options.limit, m_tokens + tokens);
}

}
