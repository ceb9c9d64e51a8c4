#include "Decisions/QuestionBudget.h"

#include <cmath>
#include <string>

#include <doctest/doctest.h>

namespace {

using Decisions::QuestionBudget;

const Common::TimePoint start(std::chrono::hours(1));

struct Load {
    std::string what;
    int choicesPerSecond;
    double least; // questions a choice got in the second half
    double most;
};

constexpr double rate = 90; // questions a second, of one entry

const Load loads[] = {
    { "quiet: as many as are worth it", 4, 7.5, 8 },
    { "usual", 12, 5, 8 },
    { "heavy: fewer, but no choice goes without", 45, 1.2, 2.1 },
};

}

TEST_CASE("Questions a choice by load")
{
    for (const auto& load : loads) {
        CAPTURE(load.what);
        QuestionBudget budget;
        budget.setRate(rate, start);
        double asked = 0;
        int choices = 0;
        int without = 0;
        constexpr int seconds = 60;
        for (int i = 0; i < seconds * load.choicesPerSecond; ++i) {
            auto now = start + std::chrono::microseconds(1'000'000LL * i / load.choicesPerSecond);
            auto wanted = static_cast<std::size_t>(std::lround(budget.beginChoice(now)));
            auto n = budget.take(wanted, now);
            if (i < seconds * load.choicesPerSecond / 2)
                continue;
            ++choices;
            asked += static_cast<double>(n);
            without += n == 0 ? 1 : 0;
        }
        CHECK(asked / choices >= load.least);
        CHECK(asked / choices <= load.most);
        CHECK(without == 0);
    }
}

TEST_CASE("Over a day no more is asked than the rate allows")
{
    QuestionBudget budget;
    budget.setRate(rate, start);
    double asked = 0;
    constexpr int seconds = 40;
    for (int ms = 0; ms < seconds * 1000; ms += 5)
        asked += static_cast<double>(budget.take(8, start + std::chrono::milliseconds(ms)));
    CHECK(asked <= rate * (seconds + 4));
}

TEST_CASE("What a quiet time leaves over serves a burst")
{
    QuestionBudget budget;
    budget.setRate(rate, start);
    auto later = start + std::chrono::seconds(30);
    CHECK(budget.take(600, later) == 600);
}
