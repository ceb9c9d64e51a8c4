#include "Decisions/RetryAllowance.h"

#include <deque>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace {

using Decisions::RetryAllowance;

constexpr auto window = std::chrono::seconds(10);
constexpr double ratio = 0.2;
constexpr double slack = 75;

}

TEST_CASE("Second sends of all entries together stay within the bound in every window")
{
    rc::check("windows", [] {
        auto entries = *rc::gen::inRange(1, 30);
        auto perSecond = *rc::gen::inRange(1, 30); // requests of one entry
        std::vector<RetryAllowance> allowances(static_cast<std::size_t>(entries), RetryAllowance({ .ratio = ratio, .slack = slack, .window = window, .entries = entries }));
        std::deque<Common::TimePoint> requests;
        std::deque<Common::TimePoint> repeats;
        Common::TimePoint start(std::chrono::hours(1));
        for (int ms = 0; ms < 25000; ms += 100) {
            auto now = start + std::chrono::milliseconds(ms);
            for (auto& allowance : allowances) {
                for (int i = 0; i * 10 < perSecond; ++i) {
                    allowance.onRequest(now);
                    requests.push_back(now);
                    // Every request would be sent again if it could.
                    if (allowance.take(now))
                        repeats.push_back(now);
                }
            }
            while (!repeats.empty() && now - repeats.front() >= window)
                repeats.pop_front();
            while (!requests.empty() && now - requests.front() >= window)
                requests.pop_front();
            RC_ASSERT(static_cast<double>(repeats.size()) <= ratio * static_cast<double>(requests.size()) + slack);
        }
    });
}

TEST_CASE("A quiet entry may send again")
{
    RetryAllowance allowance({ .ratio = ratio, .slack = slack, .window = window, .entries = 20 });
    Common::TimePoint now(std::chrono::hours(1));
    allowance.onRequest(now);
    CHECK(allowance.take(now));
    CHECK(allowance.take(now + std::chrono::seconds(1)));
    CHECK(!allowance.take(now + std::chrono::seconds(2)));
    CHECK(allowance.take(now + std::chrono::seconds(12)));
}
