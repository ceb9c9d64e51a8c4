#include "Decisions/Hedging.h"

#include <doctest/doctest.h>

TEST_CASE("the hedge delay follows the service's recent response times")
{
    Decisions::Hedging hedging;
    CHECK_FALSE(hedging.delay().has_value());
    auto learn = [&](int firstMs, int lastMs) {
        constexpr int answers = 20000;
        for (int i = 0; i < answers; ++i)
            hedging.onAnswer(std::chrono::milliseconds(firstMs + i % (lastMs - firstMs)));
    };
    learn(1, 101);
    REQUIRE(hedging.delay().has_value());
    CHECK(Common::toMilliseconds(*hedging.delay()) == doctest::Approx(95).epsilon(0.1));
    // Older samples lose weight.
    learn(201, 301);
    CHECK(Common::toMilliseconds(*hedging.delay()) == doctest::Approx(295).epsilon(0.1));
}

TEST_CASE("hedges stay within their share of the calls, and a burst within the token limit")
{
    Decisions::Hedging hedging({ .tokensPerCall = 0.03, .maxTokens = 10 });
    constexpr int calls = 10000;
    int hedges = 0;
    for (int i = 0; i < calls; ++i) {
        hedging.onCall();
        hedges += hedging.take() ? 1 : 0;
    }
    CHECK(hedges >= 299);
    CHECK(hedges <= 300);
    for (int i = 0; i < calls; ++i)
        hedging.onCall();
    int burst = 0;
    while (hedging.take())
        ++burst;
    CHECK(burst == 10);
}
