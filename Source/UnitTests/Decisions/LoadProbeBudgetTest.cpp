#include "Decisions/LoadProbeBudget.h"

#include <cmath>
#include <string>

#include <doctest/doctest.h>

namespace {

using Decisions::LoadProbeBudget;

const Common::TimePoint start(std::chrono::hours(1));

struct LoadCase {
    std::string name;
    int selectionsPerSecond;
    double minProbes; // per server selection, on average over the second half of the run
    double maxProbes;
};

constexpr double rate = 90; // probes per second of one entry

const LoadCase loads[] = {
    { "low load: the maximum", 4, 7.5, 8 },
    { "usual load", 12, 5, 8 },
    { "high load: fewer, but at least one", 45, 1.2, 2.1 },
};

}

TEST_CASE("load probes per server selection by load")
{
    for (const auto& row : loads) {
        CAPTURE(row.name);
        LoadProbeBudget budget;
        budget.setRate(rate, start);
        double sent = 0;
        int selections = 0;
        int withoutProbe = 0;
        constexpr int seconds = 60;
        for (int i = 0; i < seconds * row.selectionsPerSecond; ++i) {
            auto now = start + std::chrono::microseconds(1'000'000LL * i / row.selectionsPerSecond);
            auto wanted = static_cast<std::size_t>(std::lround(budget.beginServerSelection(now)));
            auto n = budget.take(wanted, now);
            if (i < seconds * row.selectionsPerSecond / 2)
                continue;
            ++selections;
            sent += static_cast<double>(n);
            withoutProbe += n == 0 ? 1 : 0;
        }
        CHECK(sent / selections >= row.minProbes);
        CHECK(sent / selections <= row.maxProbes);
        CHECK(withoutProbe == 0);
    }
}

TEST_CASE("load probes stay within the rate over a long time")
{
    LoadProbeBudget budget;
    budget.setRate(rate, start);
    double sent = 0;
    constexpr int seconds = 40;
    for (int ms = 0; ms < seconds * 1000; ms += 5)
        sent += static_cast<double>(budget.take(8, start + std::chrono::milliseconds(ms)));
    CHECK(sent <= rate * (seconds + 4));
}

TEST_CASE("unused load probes are available for a burst")
{
    LoadProbeBudget budget;
    budget.setRate(rate, start);
    auto later = start + std::chrono::seconds(30);
    CHECK(budget.take(600, later) == 600);
}
