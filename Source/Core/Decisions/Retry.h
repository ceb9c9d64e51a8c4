#pragma once

#include "Common/Clock.h"
#include "Decisions/AttemptOutcome.h"

namespace Decisions {

// The state of a call when an attempt has ended.
struct RetryInputs {
    AttemptEnd end;
    bool idempotent = false;
    bool sent = false; // a byte of the request left this entry in this attempt
    bool timeLeft = true;
    int attempts = 1; // so far
    int maxAttempts = 3;
    int outerRetries = 0; // retries by layers above; if any, this call is itself a retry
};

enum class RetryVerdict {
    Stop,
    Free, // retry without a token: nothing left this entry, so the load on other layers does not multiply
    Budgeted, // retry if the budget has a token
};

RetryVerdict retryVerdict(const RetryInputs&);

struct RetryBudgetOptions {
    double tokensPerSuccess = 0.2;
    double tokensPerCall = 0.005; // the only tokens earned by traffic while no call succeeds
    double tokensPerSecond = 0.1; // for services with few calls
    double maxTokens = 10; // bounds a burst of retries; further tokens are lost
};

// Token bucket that bounds the retries of one service. Starts full. Not thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    void onCall() { earn(m_options.tokensPerCall); }
    void onSuccess() { earn(m_options.tokensPerSuccess); }
    // Takes one token; false when there is none.
    bool take(Common::TimePoint now);

private:
    void earn(double tokens);

    RetryBudgetOptions m_options;
    double m_tokens;
    Common::TimePoint m_refilledAt;
};

}
