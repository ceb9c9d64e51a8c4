#include "Decisions/Retry.h"

#include <vector>

#include <doctest/doctest.h>

namespace {

using Decisions::AttemptEnd;
using Decisions::AttemptFault;
using Decisions::AttemptStage;
using Decisions::RetryFacts;
using Decisions::RetryVerdict;

const AttemptEnd refused { .stage = AttemptStage::Connecting, .fault = AttemptFault::Refused };
const AttemptEnd lost { .stage = AttemptStage::Sent, .fault = AttemptFault::Closed };
const AttemptEnd shed { .stage = AttemptStage::Answered, .status = 503, .provenNotRun = true };
const AttemptEnd answered { .stage = AttemptStage::Answered, .status = 200 };

struct Case {
    std::string what;
    RetryFacts facts;
    RetryVerdict verdict;
};

const Case cases[] = {
    { "answered", { .end = answered, .idempotent = true, .sent = true }, RetryVerdict::Stop },
    { "nothing sent", { .end = refused }, RetryVerdict::Free },
    { "nothing sent, a retry of an outer layer", { .end = refused, .outerRetries = 1 }, RetryVerdict::Free },
    { "nothing sent, last attempt", { .end = refused, .attempts = 3 }, RetryVerdict::Stop },
    { "nothing sent, no time left", { .end = refused, .timeLeft = false }, RetryVerdict::Stop },
    { "not well-formed", { .end = { .stage = AttemptStage::BeforeSend, .fault = AttemptFault::Malformed } }, RetryVerdict::Stop },
    { "lost, idempotent", { .end = lost, .idempotent = true, .sent = true }, RetryVerdict::Budgeted },
    { "lost, a retry of an outer layer", { .end = lost, .idempotent = true, .sent = true, .outerRetries = 1 }, RetryVerdict::Stop },
    { "lost, not to be repeated", { .end = lost, .sent = true }, RetryVerdict::Stop },
    { "shed with proof, not to be repeated", { .end = shed, .sent = true }, RetryVerdict::Budgeted },
    { "shed with proof, a retry of an outer layer", { .end = shed, .sent = true, .outerRetries = 2 }, RetryVerdict::Stop },
    { "caller gone", { .end = { .stage = AttemptStage::Sent, .fault = AttemptFault::Cancelled }, .idempotent = true, .sent = true }, RetryVerdict::Stop },
};

constexpr std::size_t layers = 18;

// A call through all layers; every attempt at the innermost one ends as `end`.
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
            ++m_innermost;
            return;
        }
        m_budgets[layer].onCall();
        RetryFacts facts { .end = m_end, .idempotent = true, .sent = true, .attempts = 0, .outerRetries = outerRetries };
        while (true) {
            call(now, layer + 1, outerRetries + facts.attempts);
            ++facts.attempts;
            if (Decisions::retryVerdict(facts) != RetryVerdict::Budgeted || !m_budgets[layer].take(now))
                return;
        }
    }

    int innermost() const { return m_innermost; }

private:
    AttemptEnd m_end;
    std::vector<Decisions::RetryBudget> m_budgets;
    int m_innermost = 0;
};

}

TEST_CASE("when an attempt is followed by another")
{
    for (const auto& row : cases) {
        CAPTURE(row.what);
        CHECK(Decisions::retryVerdict(row.facts) == row.verdict);
    }
}

TEST_CASE("18 layers whose servers all fail send at most 1.2 requests for each call")
{
    for (const auto& end : { lost, shed }) {
        Chain chain(end);
        constexpr int calls = 2200; // 10 s of one service at one entry at the target size
        auto now = Common::TimePoint(std::chrono::hours(1));
        for (int i = 0; i < calls; ++i) {
            chain.call(now);
            now += std::chrono::microseconds(4545);
        }
        auto factor = static_cast<double>(chain.innermost()) / calls;
        MESSAGE("factor ", factor);
        CHECK(factor <= 1.2);
        CHECK(factor > 1.0);
    }
}

TEST_CASE("retries are a share of the successes")
{
    Decisions::RetryBudget budget({ .successShare = 0.2, .callShare = 0, .perSecond = 0, .limit = 10 });
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
