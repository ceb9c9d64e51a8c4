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

TEST_CASE("probe budget: all entries together stay within it in every 1 s window, through restarts and network partitions")
{
    CHECK(rc::check([] {
        auto entries = *rc::gen::inRange(1, 23);
        auto rate = *rc::gen::element(0.5, 3.0, 10.0, 40.0);
        auto restartOdds = *rc::gen::element(0, 3, 30); // in 1000, per entry and step
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
                // In a network partition an entry sees fewer carriers, but the largest recent count stays.
                CarrierShare share { .carriers = 1 + static_cast<int>(random() % static_cast<std::uint64_t>(entries)), .maxRecentCarriers = entries, .liveEntries = entries };
                budget.setRate(rate, share, now);
                // Probes are requested at any rate.
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
        // Without restarts some of the budget must be used.
        constexpr double refillS = 27; // the run of 30 s without the settle time of 3 s; the phase may cost one probe
        if (restartOdds == 0 && rate / entries * refillS > 2)
            RC_ASSERT(total > 0U);
    }));
}

TEST_CASE("probe budget: an entry without a share sends no probes")
{
    Common::TimePoint now { milliseconds(1000) };
    for (const auto& share : { CarrierShare { .carries = false }, CarrierShare { .maxRecentCarriers = std::numeric_limits<int>::max() } }) {
        ProbeBudget budget(now);
        budget.setRate(10, share, now);
        CHECK_FALSE(budget.take(now + std::chrono::minutes(10)));
    }
}

TEST_CASE("probe budget: a raised rate applies only from its change on")
{
    Common::TimePoint now { milliseconds(0) };
    ProbeBudget budget(now);
    budget.setRate(0.001, {}, now);
    now += std::chrono::seconds(10);
    budget.setRate(10, {}, now);
    CHECK_FALSE(budget.take(now));
    CHECK(budget.take(now + milliseconds(100)));
}

TEST_CASE("probe reason and interval by server state")
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
            auto interval = Decisions::reprobeInterval(row.reason, goal);
            server.lastResponseAt = now - interval;
            CHECK(Decisions::probeUrgency(server, goal, now, 5) >= 1);
            // Information from traffic postpones the probe.
            server.lastResponseAt = now - interval / 2;
            CHECK(Decisions::probeUrgency(server, goal, now, 5) < 1);
        }
        CHECK(Decisions::reprobeInterval(row.reason, Goal::ProbeCost) > Decisions::reprobeInterval(row.reason, Goal::Latency));
    }
}
