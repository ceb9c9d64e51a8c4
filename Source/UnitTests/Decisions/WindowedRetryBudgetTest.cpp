#include "Decisions/WindowedRetryBudget.h"

#include <deque>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace {

using Decisions::WindowedRetryBudget;

constexpr auto window = std::chrono::seconds(10);
constexpr double ratio = 0.2;
constexpr double slack = 75;

}

TEST_CASE("additional attempts of all entries together stay within the bound in every window")
{
    auto held = rc::check("windows", [] {
        auto entries = *rc::gen::inRange(1, 30);
        auto perSecond = *rc::gen::inRange(1, 30); // requests of each entry
        std::vector<WindowedRetryBudget> budgets(static_cast<std::size_t>(entries),
            WindowedRetryBudget({ .ratio = ratio, .slack = slack, .window = window, .entries = entries }));
        std::deque<Common::TimePoint> requests;
        std::deque<Common::TimePoint> retries;
        Common::TimePoint start(std::chrono::hours(1));
        for (int ms = 0; ms < 25000; ms += 100) {
            auto now = start + std::chrono::milliseconds(ms);
            for (auto& budget : budgets) {
                for (int i = 0; i * 10 < perSecond; ++i) {
                    budget.onRequest(now);
                    requests.push_back(now);
                    // Every request is retried as far as the budget allows.
                    if (budget.take(now))
                        retries.push_back(now);
                }
            }
            while (!retries.empty() && now - retries.front() >= window)
                retries.pop_front();
            while (!requests.empty() && now - requests.front() >= window)
                requests.pop_front();
            RC_ASSERT(static_cast<double>(retries.size()) <= ratio * static_cast<double>(requests.size()) + slack);
        }
    });
    CHECK(held);
}

TEST_CASE("an entry with little traffic may use its part of the slack")
{
    WindowedRetryBudget budget({ .ratio = ratio, .slack = slack, .window = window, .entries = 20 });
    Common::TimePoint now(std::chrono::hours(1));
    budget.onRequest(now);
    CHECK(budget.take(now));
    CHECK(budget.take(now + std::chrono::seconds(1)));
    CHECK(!budget.take(now + std::chrono::seconds(2)));
    CHECK(budget.take(now + std::chrono::seconds(12)));
}

TEST_CASE("a request that is handed over takes its share of the budget along")
{
    constexpr int requests = 100;
    Decisions::WindowedRetryBudgetOptions options { .ratio = ratio, .slack = 0, .window = window, .entries = 2, .margin = 1 };
    WindowedRetryBudget from(options);
    WindowedRetryBudget to(options);
    Common::TimePoint now(std::chrono::hours(1));
    for (int i = 0; i < requests; ++i) {
        from.onRequest(now);
        from.onRequestHandedOver(now);
        to.onRequest(now);
        now += std::chrono::milliseconds(10);
    }
    CHECK(from.available(now) == doctest::Approx(0));
    CHECK(to.available(now) == doctest::Approx(ratio * requests));
    CHECK(!from.take(now));
    CHECK(to.take(now));
}
