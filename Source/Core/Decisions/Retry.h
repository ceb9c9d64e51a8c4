#pragma once

#include "Common/Clock.h"
#include "Decisions/AttemptOutcome.h"

namespace Decisions {

// What is known when an attempt has ended.
struct RetryFacts {
    AttemptEnd end;
    bool idempotent = false;
    bool sent = false; // a byte of the request left in this attempt
    bool timeLeft = true;
    int attempts = 1; // so far
    int maxAttempts = 3;
    int outerRetries = 0; // above 0: already a retry at an outer layer
};

enum class RetryVerdict {
    Stop,
    Free, // go on: nothing left this entry, so nothing multiplies
    Budgeted, // go on if the budget gives a token
};

RetryVerdict retryVerdict(const RetryFacts&);

struct RetryBudgetOptions {
    double successShare = 0.2; // tokens a success earns
    double callShare = 0.005; // tokens a call earns: what is left when nothing succeeds
    double perSecond = 0.1; // tokens earned by time, for services of few calls
    double limit = 10; // tokens held at most
};

// How many retries one service may cost. Not thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    void onCall() { earn(m_options.callShare); }
    void onSuccess() { earn(m_options.successShare); }
    // Spends one token; false when there is none.
    bool take(Common::TimePoint now);

private:
    void earn(double tokens);

    RetryBudgetOptions m_options;
    double m_tokens;
    Common::TimePoint m_earnedUntil;
};

}
