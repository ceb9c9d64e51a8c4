#include <deque>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "Decisions/ServerPool.h"

// Cost of the choice of a backend server, by policy and size of the pool; system clock and generator, as in an entry.

namespace {

using Decisions::LoadReport;
using Decisions::ServerPool;
using Decisions::ServerSpec;
using Records::Policy;

constexpr Decisions::AttemptEnd answered { .stage = Decisions::AttemptStage::Answered, .status = 200 };

std::vector<ServerSpec> specsOf(std::int64_t n)
{
    constexpr std::int64_t aByte = 256;
    std::vector<ServerSpec> specs;
    for (std::int64_t i = 0; i < n; ++i)
        specs.push_back({ .address = "10.0." + std::to_string(i / aByte) + "." + std::to_string(i % aByte) + ":8080", .failureDomain = "a" });
    return specs;
}

ServerPool poolOf(Policy policy, std::int64_t n)
{
    ServerPool pool({ .policy = policy }, Common::systemHooks());
    pool.setServers(specsOf(n));
    pool.takeEvents();
    return pool;
}

// One choice and one report, with 16 requests open at any time.
void chooseAndFinish(benchmark::State& state, Policy policy)
{
    constexpr std::size_t openRequests = 16;
    auto pool = poolOf(policy, state.range(0));
    std::deque<Decisions::Ticket> open;
    for (auto it : state) {
        (void)it;
        open.push_back(*pool.choose({}));
        if (open.size() > openRequests) {
            pool.finish(open.front(), { .end = answered, .load = LoadReport { .inFlight = 1, .slots = 4 } });
            open.pop_front();
        }
    }
}

// The report alone.
void finishOnly(benchmark::State& state)
{
    auto pool = poolOf(Policy::Adaptive, state.range(0));
    for (auto it : state) {
        (void)it;
        state.PauseTiming();
        auto ticket = *pool.choose({});
        state.ResumeTiming();
        pool.finish(ticket, { .end = answered, .load = LoadReport { .inFlight = 1, .slots = 4 } });
    }
}

// The instance list comes again, unchanged.
void setServers(benchmark::State& state)
{
    auto specs = specsOf(state.range(0));
    auto pool = poolOf(Policy::Adaptive, state.range(0));
    for (auto it : state) {
        (void)it;
        pool.setServers(specs);
    }
}

void planProbe(benchmark::State& state)
{
    auto pool = poolOf(Policy::Adaptive, state.range(0));
    for (auto it : state) {
        (void)it;
        if (auto ticket = pool.beginProbe())
            pool.finishProbe(*ticket, { .end = answered, .load = LoadReport { .inFlight = 1, .slots = 4 } });
    }
}

void sizes(benchmark::internal::Benchmark* bench)
{
    for (auto n : { 25, 30, 1000, 19000 })
        bench->Arg(n);
}

BENCHMARK_CAPTURE(chooseAndFinish, random, Policy::Random)->Apply(sizes);
BENCHMARK_CAPTURE(chooseAndFinish, roundRobin, Policy::RoundRobin)->Apply(sizes);
BENCHMARK_CAPTURE(chooseAndFinish, leastInFlight, Policy::LeastInFlight)->Apply(sizes);
BENCHMARK_CAPTURE(chooseAndFinish, powerOfTwo, Policy::PowerOfTwo)->Apply(sizes);
BENCHMARK_CAPTURE(chooseAndFinish, adaptive, Policy::Adaptive)->Apply(sizes);
BENCHMARK(finishOnly)->Apply(sizes);
BENCHMARK(setServers)->Apply(sizes);
BENCHMARK(planProbe)->Apply(sizes);

}
