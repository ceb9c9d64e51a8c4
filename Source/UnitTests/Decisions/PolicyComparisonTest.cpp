#include <doctest/doctest.h>

#include "Decisions/FakeServers.h"

namespace {

using FakeServers::Options;
using Records::Policy;

enum class Bound {
    None, // the tail comes from the service time, or from queueing that no policy avoids
    HalfOfRoundRobin,
};

struct Row {
    const char* name;
    Bound bound;
    Options options;
};

// A fifth of the servers is slow; every 300 ms it is the next fifth.
double rotatingSlowdown(int server, double at)
{
    constexpr int groups = 5;
    constexpr double periodSeconds = 0.3;
    return server % groups == static_cast<int>(at / periodSeconds) % groups ? 5 : 1;
}

std::vector<int> mixedSlots()
{
    std::vector<int> slots;
    for (int i = 0; i < 24; ++i)
        slots.push_back(i % 2 ? 2 : 8);
    return slots;
}

std::vector<Row> rows()
{
    return {
        { "steady at 70%", Bound::None, {} },
        { "steady at 90%", Bound::None, { .utilization = 0.9 } },
        { "frozen reports", Bound::None, { .utilization = 0.8, .report = [](int server, int) { return server % 5; } } },
        { "lying reports", Bound::None, { .utilization = 0.8, .report = [](int server, int inFlight) { return server % 4 ? inFlight : 0; } } },
        { "noisy neighbours", Bound::HalfOfRoundRobin, { .utilization = 0.5, .slowdown = rotatingSlowdown } },
        { "mixed sizes", Bound::HalfOfRoundRobin, { .slots = mixedSlots() } },
        { "mixed speeds", Bound::HalfOfRoundRobin, { .utilization = 0.5, .slowdown = [](int server, double) { return server % 2 ? 1.6 : 0.4; } } },
        { "slow server", Bound::HalfOfRoundRobin, { .slowdown = [](int server, double at) { return server == 3 && at > 3 ? 10.0 : 1.0; } } },
    };
}

double p99(Options options, Policy policy)
{
    options.policy = policy;
    return FakeServers::Simulation(options).run().p99();
}

}

TEST_CASE("p99 latency of the adaptive policy compared with round-robin and power-of-two")
{
    for (const auto& row : rows()) {
        CAPTURE(row.name);
        auto adaptive = p99(row.options, Policy::Adaptive);
        auto roundRobin = p99(row.options, Policy::RoundRobin);
        auto powerOfTwo = p99(row.options, Policy::PowerOfTwo);
        INFO("p99 in ms: adaptive ", adaptive, ", round-robin ", roundRobin, ", power-of-two ", powerOfTwo);
        // The target is at most the p99 of power-of-two; the 10% allow for the spread between seeds.
        CHECK(adaptive < 1.1 * powerOfTwo);
        if (row.bound == Bound::HalfOfRoundRobin)
            CHECK(adaptive <= roundRobin / 2);
    }
}

TEST_CASE("a server that fails fast does not attract requests by its low latency")
{
    constexpr int bad = 5;
    Options options { .failing = [](int server, double at) { return server == bad && at > 3; } };
    auto outcome = FakeServers::Simulation(options).run();
    CHECK(outcome.failed > 0);
    // Its fair share of the requests of 2 s would be 933.
    CHECK(outcome.failed < 93);
}
