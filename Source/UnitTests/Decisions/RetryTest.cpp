#include "Decisions/Retry.h"

#include <vector>

#include <doctest/doctest.h>

namespace {

using Decisions::AttemptEnd;
using Decisions::AttemptFault;
using Decisions::AttemptStage;
using Decisions::RetryInputs;
using Decisions::RetryVerdict;

const AttemptEnd refused { .stage = AttemptStage::Connecting, .fault = AttemptFault::Refused };
const AttemptEnd lost { .stage = AttemptStage::Sent, .fault = AttemptFault::Closed };
const AttemptEnd shed { .stage = AttemptStage::Answered, .status = 503, .provenNotRun = true };
const AttemptEnd answered { .stage = AttemptStage::Answered, .status = 200 };

struct Case {
    std::string name;
    RetryInputs inputs;
    RetryVerdict verdict;
};

const Case cases[] = {
    { "answered", { .end = answered, .idempotent = true, .sent = true }, RetryVerdict::Stop },
    { "nothing sent", { .end = refused }, RetryVerdict::Free },
    { "nothing sent, already a retry by an outer layer", { .end = refused, .outerRetries = 1 }, RetryVerdict::Free },
    { "nothing sent, last attempt", { .end = refused, .attempts = 3 }, RetryVerdict::Stop },
    { "nothing sent, no time left", { .end = refused, .timeLeft = false }, RetryVerdict::Stop },
    { "malformed request", { .end = { .stage = AttemptStage::BeforeSend, .fault = AttemptFault::Malformed } }, RetryVerdict::Stop },
    { "connection lost, idempotent", { .end = lost, .idempotent = true, .sent = true }, RetryVerdict::Budgeted },
    { "connection lost, already a retry by an outer layer", { .end = lost, .idempotent = true, .sent = true, .outerRetries = 1 }, RetryVerdict::Stop },
    { "connection lost, not idempotent", { .end = lost, .sent = true }, RetryVerdict::Stop },
    { "shed and provably not run, not idempotent", { .end = shed, .sent = true }, RetryVerdict::Budgeted },
    { "shed and provably not run, already a retry by an outer layer", { .end = shed, .sent = true, .outerRetries = 2 }, RetryVerdict::Stop },
    { "caller disconnected", { .end = { .stage = AttemptStage::Sent, .fault = AttemptFault::Cancelled }, .idempotent = true, .sent = true }, RetryVerdict::Stop },
};

constexpr std::size_t layers = 18;

// Sends calls through a chain of services with a retry budget each; every attempt at the innermost servers ends with `end`.
class Chain {
public:
    explicit Chain(const AttemptEnd& end)
        : m_end(end)
        , m_budgets(layers)
    {
    }

    void call(Common::TimePoint now, std::size_t layer = 0, int outerRetries = 0)
    {
        if (layer == layers) {
            ++m_innermostAttempts;
            return;
        }
        m_budgets[layer].onCall();
        RetryInputs inputs { .end = m_end, .idempotent = true, .sent = true, .attempts = 0, .outerRetries = outerRetries };
        while (true) {
            call(now, layer + 1, outerRetries + inputs.attempts);
            ++inputs.attempts;
            if (Decisions::retryVerdict(inputs) != RetryVerdict::Budgeted || !m_budgets[layer].take(now))
                return;
        }
    }

    int innermostAttempts() const { return m_innermostAttempts; }

private:
    AttemptEnd m_end;
    std::vector<Decisions::RetryBudget> m_budgets;
    int m_innermostAttempts = 0;
};

}

TEST_CASE("retry verdict by outcome of the attempt")
{
    for (const auto& row : cases) {
        CAPTURE(row.name);
        CHECK(Decisions::retryVerdict(row.inputs) == row.verdict);
    }
}

TEST_CASE("18 layers of services send at most 1.2 requests per call while all innermost servers fail")
{
    for (const auto& end : { lost, shed }) {
        Chain chain(end);
        constexpr int calls = 2200; // 10 s of one service at one entry at the target size
        auto now = Common::TimePoint(std::chrono::hours(1));
        for (int i = 0; i < calls; ++i) {
            chain.call(now);
            now += std::chrono::microseconds(4545);
        }
        auto factor = static_cast<double>(chain.innermostAttempts()) / calls;
        MESSAGE("requests per call: ", factor);
        CHECK(factor <= 1.2);
        CHECK(factor > 1.0);
    }
}

TEST_CASE("retries stay within their share of the successes")
{
    Decisions::RetryBudget budget({ .tokensPerSuccess = 0.2, .tokensPerCall = 0, .tokensPerSecond = 0, .maxTokens = 10 });
    auto now = Common::TimePoint(std::chrono::hours(1));
    while (budget.take(now)) { }
    constexpr int successes = 1000;
    int granted = 0;
    for (int i = 0; i < successes; ++i) {
        budget.onSuccess();
        granted += budget.take(now) ? 1 : 0;
    }
    CHECK(granted >= 199);
    CHECK(granted <= 200);
}
