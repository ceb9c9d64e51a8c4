#include "Decisions/WeightedSplit.h"

#include <algorithm>
#include <cmath>

#include <doctest/doctest.h>
#include <rapidcheck.h>

TEST_CASE("every run of requests is close to the weights")
{
    auto held = rc::check("shares", [] {
        auto raw = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100)));
        raw.resize(std::min<std::size_t>(raw.size(), 5));
        raw.front() += 1;
        std::vector<double> weights(raw.begin(), raw.end());
        auto phase = *rc::gen::inRange(0, 1000) / 1000.0;
        Decisions::WeightedSplit split(weights, phase);
        std::vector<int> counts(weights.size());
        double total = 0;
        for (auto weight : weights)
            total += weight;
        constexpr int requests = 60;
        for (int i = 0; i < requests; ++i)
            ++counts[split.next()];
        for (std::size_t i = 0; i < weights.size(); ++i) {
            RC_ASSERT(std::abs(counts[i] - requests * weights[i] / total) <= 2.0 * static_cast<double>(weights.size()));
            RC_ASSERT(weights[i] > 0 || counts[i] == 0);
        }
    });
    CHECK(held);
}

TEST_CASE("short runs of many instances add up to the weights")
{
    // Twenty entries with ten requests each, as within a second or two at low load.
    constexpr int entries = 20;
    constexpr int requests = 10;
    int first = 0;
    for (int i = 0; i < entries; ++i) {
        Decisions::WeightedSplit split({ 90, 10 }, (i + 0.5) / entries);
        for (int n = 0; n < requests; ++n)
            first += split.next() == 0 ? 1 : 0;
    }
    CHECK(first / double(entries * requests) == doctest::Approx(0.9).epsilon(0.05));
}
