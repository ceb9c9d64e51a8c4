#include <deque>
#include <functional>
#include <limits>
#include <random>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "Decisions/ProbeBudget.h"
#include "Decisions/ProbePlanner.h"

namespace {

using Decisions::CarrierShare;
using Decisions::ProbeBudget;
using Decisions::ProbeReason;
using Records::Goal;
using std::chrono::milliseconds;

}

TEST_CASE("probe budget: every 1 s window over all entries, through restarts and splits")
{
    CHECK(rc::check([] {
        auto entries = *rc::gen::inRange(1, 23);
        auto rate = *rc::gen::element(0.5, 3.0, 10.0, 40.0);
        auto restartOdds = *rc::gen::element(0, 3, 30); // of 1000, a step and entry
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint32_t>());
        Common::TimePoint now { milliseconds(1000) };
        auto phase = [&random] { return static_cast<double>(random() % 1000) / 1000; };
        std::vector<ProbeBudget> budgets;
        for (int i = 0; i < entries; ++i)
            budgets.emplace_back(now, phase());
        std::deque<Common::TimePoint> sent;
        std::size_t total = 0;
        for (int tick = 0; tick < 1500; ++tick) {
            now += milliseconds(20);
            for (auto& budget : budgets) {
                if (static_cast<int>(random() % 1000) < restartOdds)
                    budget = ProbeBudget(now, phase());
                // In a split an entry sees fewer carriers; the most seen lately stays.
                CarrierShare share { .carriers = 1 + static_cast<int>(random() % static_cast<std::uint64_t>(entries)), .maxRecentCarriers = entries, .liveEntries = entries };
                budget.setRate(rate, share, now);
                // As much traffic as one likes asks for probes.
                for (int i = 0; i < 10; ++i) {
                    if (budget.take(now))
                        sent.push_back(now);
                }
            }
            total += sent.size();
            while (!sent.empty() && now - sent.front() >= milliseconds(1000))
                sent.pop_front();
            RC_ASSERT(static_cast<double>(sent.size()) <= rate + entries);
        }
        // Without restarts the budget is there to be used.
        constexpr double filling = 27; // of 30 s, without the first 3; the phase may cost a turn
        if (restartOdds == 0 && rate / entries * filling > 2)
            RC_ASSERT(total > 0U);
    }));
}

TEST_CASE("probe budget: no share, no probes")
{
    Common::TimePoint now { milliseconds(1000) };
    for (const auto& share : { CarrierShare { .carries = false }, CarrierShare { .maxRecentCarriers = std::numeric_limits<int>::max() } }) {
        ProbeBudget budget(now);
        budget.setRate(10, share, now);
        CHECK_FALSE(budget.take(now + std::chrono::minutes(10)));
    }
}

TEST_CASE("probe budget: a raised rate counts from its change")
{
    Common::TimePoint now { milliseconds(0) };
    ProbeBudget budget(now);
    budget.setRate(0.001, {}, now);
    now += std::chrono::seconds(10);
    budget.setRate(10, {}, now);
    CHECK_FALSE(budget.take(now));
    CHECK(budget.take(now + milliseconds(100)));
}

TEST_CASE("what a probe would tell")
{
    Common::TimePoint now { std::chrono::seconds(100) };
    struct Row {
        ProbeReason reason;
        std::function<void(Decisions::ServerState&)> change;
    };
    const Row rows[] = {
        { ProbeReason::Idle, [](auto&) {} },
        { ProbeReason::Draining, [](auto& server) { server.spec.leaving = true; } },
        { ProbeReason::Ejected, [](auto& server) { server.ejection.ejected = true; } },
        { ProbeReason::Starting, [&](auto& server) { server.slowStart.begin(now - milliseconds(100)); } },
        { ProbeReason::Suspect, [&](auto& server) { server.failures.add(Decisions::HealthSignal::Failed, now); } },
        { ProbeReason::Suspect, [&](auto& server) { server.openRequests.push_back({ .number = 1, .sentAt = now - milliseconds(100) }); } },
    };
    for (const auto& row : rows) {
        Decisions::ServerState server;
        row.change(server);
        CHECK(Decisions::probeReason(server, now, 5) == row.reason);
        for (auto goal : { Goal::Latency, Goal::ProbeCost }) {
            auto after = Decisions::probeAfter(row.reason, goal);
            server.lastResponseAt = now - after;
            CHECK(Decisions::probeUrgency(server, goal, now, 5) >= 1);
            // Traffic tells for nothing what a probe would cost.
            server.lastResponseAt = now - after / 2;
            CHECK(Decisions::probeUrgency(server, goal, now, 5) < 1);
        }
        CHECK(Decisions::probeAfter(row.reason, Goal::ProbeCost) > Decisions::probeAfter(row.reason, Goal::Latency));
    }
}
