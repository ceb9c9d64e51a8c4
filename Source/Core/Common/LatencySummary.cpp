#include "Common/LatencySummary.h"

#include <array>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace Common {

namespace {

    namespace Acc = boost::accumulators;

    using Accumulator = Acc::accumulator_set<double, Acc::stats<Acc::tag::count, Acc::tag::sum, Acc::tag::max, Acc::tag::extended_p_square>>;

    constexpr std::array probabilities { 0.5, 0.9, 0.99, 0.999 };

}

struct LatencySummary::State {
    State()
        : accumulator(Acc::extended_p_square_probabilities = probabilities)
    {
    }

    Accumulator accumulator;
};

LatencySummary::LatencySummary()
    : m_state(std::make_unique<State>())
{
}

LatencySummary::~LatencySummary() = default;

void LatencySummary::add(Duration duration)
{
    std::lock_guard lock(m_mutex);
    m_state->accumulator(toMilliseconds(duration));
}

LatencyQuantiles LatencySummary::quantiles() const
{
    std::lock_guard lock(m_mutex);
    const auto& accumulator = m_state->accumulator;
    if (Acc::count(accumulator) == 0)
        return {};
    auto quantiles = Acc::extended_p_square(accumulator);
    return {
        .count = Acc::count(accumulator),
        .sumMs = Acc::sum(accumulator),
        .p50Ms = quantiles[0],
        .p90Ms = quantiles[1],
        .p99Ms = quantiles[2],
        .p999Ms = quantiles[3],
        .maxMs = Acc::max(accumulator),
    };
}

}
