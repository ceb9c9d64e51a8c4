#include "Decisions/HedgePolicy.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include "Decisions/WindowedRetryBudget.h"

namespace {

using Common::fromMilliseconds;
using Common::TimePoint;
using Common::toMilliseconds;
using Decisions::HedgePolicy;
using Decisions::HedgeVerdict;
using Decisions::ServerSignal;

TimePoint at(double ms)
{
    return TimePoint(fromMilliseconds(ms));
}

struct PoolCase {
    double share;
    double requestsPerSecond; // of callers
    double maxHedges; // per request; far below the share when the rate is above what the servers have room for
    double maxP99Ratio; // response time with hedging to that without, at quantile 0.99
    // At quantile 0.999. 0: not compared, since that quantile then lies between two kinds of requests: without hedging it is 2,099 to
    // 7,084 ms, by the seed.
    double maxP999Ratio;
    int gateways;
    bool reported; // servers report that they are slow
};

struct PoolResult {
    std::vector<double> times; // of answered requests, in ms
    double requests = 0;
    double hedges = 0;
    double won = 0;
    double refused = 0;
    double workMs = 0; // time for which slots were in use
    double maxHedgesOverShare = 0; // over all gateways: hedges beyond the share of the requests so far

    double quantile(double q)
    {
        auto it = times.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(times.size()));
        std::nth_element(times.begin(), it, times.end());
        return *it;
    }
};

// Model of one service: 3% of the requests take 7 times as long, and a tenth of the servers at a time is 5 times slower for 4 s. Each request goes to the best of three servers. An attempt that is overtaken ends at once.
class PoolModel {
public:
    PoolModel(const PoolCase& poolCase, double share)
        : m_case(poolCase)
        , m_share(share)
    {
        for (int i = 0; i < poolCase.gateways; ++i) {
            m_policies.emplace_back(Decisions::HedgePolicyOptions { .extraShare = share, .gateways = poolCase.gateways });
            m_retries.emplace_back(Decisions::WindowedRetryBudgetOptions { .entries = poolCase.gateways });
        }
    }

    PoolResult run()
    {
        push(0, Event::Kind::Arrival, 0);
        while (!m_events.empty()) {
            auto event = m_events.top();
            m_events.pop();
            m_nowMs = event.atMs;
            if (event.kind == Event::Kind::Arrival)
                arrive();
            else if (event.kind == Event::Kind::End)
                end(event.request, event.isHedge);
            else
                hedge(event.request);
        }
        return std::move(m_result);
    }

private:
    static constexpr int servers = 100;
    static constexpr int slots = 6;
    static constexpr int probes = 3;
    static constexpr double usualWorkMs = 250;
    static constexpr double slowFactor = 5;
    static constexpr double deadlineMs = 6000;
    static constexpr double durationMs = 240'000;
    static constexpr double warmUpMs = 120'000; // not counted in the response times

    struct Event {
        enum class Kind {
            Arrival,
            End,
            Hedge,
        };
        double atMs;
        Kind kind;
        std::size_t request;
        bool isHedge = false;

        bool operator>(const Event& other) const { return atMs > other.atMs; }
    };
    struct Request {
        std::size_t gateway = 0;
        double sentMs = 0;
        double hedgeSentMs = 0;
        int server = -1;
        int hedgeServer = -1;
        bool ended = false;
    };

    void push(double atMs, Event::Kind kind, std::size_t request, bool isHedge = false) { m_events.push({ atMs, kind, request, isHedge }); }
    double uniform() { return std::uniform_real_distribution<double>()(m_random); }
    bool isSlow(int server) const
    {
        constexpr double slowMs = 4000;
        constexpr int slowOneIn = 10;
        return (server + static_cast<int>(m_nowMs / slowMs)) % slowOneIn == 0;
    }
    double workMs(int server)
    {
        auto work = usualWorkMs * (0.8 + 0.4 * uniform());
        return work * (uniform() < 0.03 ? 7 : 1) * (isSlow(server) ? slowFactor : 1);
    }
    ServerSignal signal(int server) const
    {
        return { .running = m_running[static_cast<std::size_t>(server)], .slots = slots, .workFactor = m_case.reported && isSlow(server) ? slowFactor : 1 };
    }

    // -1 if none of the probed servers accepts the request.
    template <typename Accepts>
    int place(int except, Accepts accepts)
    {
        std::vector<ServerSignal> signals;
        std::vector<int> candidates;
        for (int i = 0; i < probes; ++i) {
            auto server = static_cast<int>(uniform() * servers);
            if (server == except || !accepts(signal(server)))
                continue;
            signals.push_back(signal(server));
            candidates.push_back(server);
        }
        return candidates.empty() ? -1 : candidates[Decisions::bestServer(signals, usualWorkMs, m_options)];
    }

    void arrive()
    {
        if (m_nowMs < durationMs)
            push(m_nowMs + std::exponential_distribution<double>(m_case.requestsPerSecond / 1000)(m_random), Event::Kind::Arrival, 0);
        auto gateway = static_cast<std::size_t>(uniform() * m_case.gateways);
        m_policies[gateway].onRequest(at(m_nowMs));
        m_retries[gateway].onRequest(at(m_nowMs));
        m_result.requests += 1;
        auto server = place(-1, [&](const ServerSignal& it) { return Decisions::hasCapacity(it, 1, m_options); });
        if (server < 0) {
            m_result.refused += 1;
            return m_policies[gateway].onPushback(at(m_nowMs));
        }
        ++m_running[static_cast<std::size_t>(server)];
        m_requests.push_back({ .gateway = gateway, .sentMs = m_nowMs, .server = server });
        push(m_nowMs + workMs(server), Event::Kind::End, m_requests.size() - 1);
        if (m_share <= 0)
            return;
        auto due = m_policies[gateway].due("route",
            { .expected = fromMilliseconds(usualWorkMs), .hedgeExpected = fromMilliseconds(usualWorkMs), .left = fromMilliseconds(deadlineMs), .fallback = fromMilliseconds(2.5 * usualWorkMs) },
            at(m_nowMs));
        if (due)
            push(m_nowMs + toMilliseconds(*due), Event::Kind::Hedge, m_requests.size() - 1);
    }

    void hedge(std::size_t index)
    {
        auto& request = m_requests[index];
        if (request.ended)
            return;
        auto ageMs = m_nowMs - request.sentMs;
        auto& policy = m_policies[request.gateway];
        auto& retries = m_retries[request.gateway];
        auto isAllowed = policy.check(retries.available(at(m_nowMs)), at(m_nowMs)) == HedgeVerdict::Allowed;
        auto server = isAllowed ? place(request.server, [&](const ServerSignal& it) { return Decisions::acceptsHedge(it, usualWorkMs, 1, ageMs, m_options); }) : -1;
        if (server < 0) {
            if (2 * ageMs + usualWorkMs < deadlineMs)
                push(m_nowMs + ageMs, Event::Kind::Hedge, index);
            return;
        }
        policy.take();
        CHECK(retries.take(at(m_nowMs)));
        m_result.hedges += 1;
        m_result.maxHedgesOverShare = std::max(m_result.maxHedgesOverShare, m_result.hedges - m_share * m_result.requests);
        request.hedgeServer = server;
        request.hedgeSentMs = m_nowMs;
        ++m_running[static_cast<std::size_t>(server)];
        push(m_nowMs + workMs(server), Event::Kind::End, index, true);
    }

    void end(std::size_t index, bool isHedge)
    {
        auto& request = m_requests[index];
        if (request.ended)
            return;
        request.ended = true;
        auto tookMs = m_nowMs - request.sentMs;
        m_policies[request.gateway].onAttemptTime("route", fromMilliseconds(tookMs), at(m_nowMs));
        --m_running[static_cast<std::size_t>(request.server)];
        m_result.workMs += tookMs;
        if (request.hedgeServer >= 0) {
            --m_running[static_cast<std::size_t>(request.hedgeServer)];
            m_result.workMs += m_nowMs - request.hedgeSentMs;
        }
        m_result.won += isHedge ? 1 : 0;
        if (request.sentMs >= warmUpMs)
            m_result.times.push_back(tookMs);
    }

    PoolCase m_case;
    double m_share;
    std::mt19937_64 m_random { 1 };
    Decisions::PlacementOptions m_options;
    std::vector<HedgePolicy> m_policies;
    std::vector<Decisions::WindowedRetryBudget> m_retries;
    std::vector<int> m_running = std::vector<int>(servers);
    std::vector<Request> m_requests;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    PoolResult m_result;
    double m_nowMs = 0;
};

const PoolCase poolCases[] = {
    { .share = 0.02, .requestsPerSecond = 700, .maxHedges = 0.02, .maxP99Ratio = 0.98, .maxP999Ratio = 0.4, .gateways = 20, .reported = false },
    { .share = 0.02, .requestsPerSecond = 700, .maxHedges = 0.02, .maxP99Ratio = 0.98, .maxP999Ratio = 0.4, .gateways = 45, .reported = false },
    { .share = 0.02, .requestsPerSecond = 700, .maxHedges = 0.02, .maxP99Ratio = 0.98, .maxP999Ratio = 0.4, .gateways = 221, .reported = false },
    { .share = 0.05, .requestsPerSecond = 700, .maxHedges = 0.05, .maxP99Ratio = 0.95, .maxP999Ratio = 0.4, .gateways = 20, .reported = false },
    { .share = 0.05, .requestsPerSecond = 700, .maxHedges = 0.05, .maxP99Ratio = 0.95, .maxP999Ratio = 0.4, .gateways = 45, .reported = false },
    { .share = 0.05, .requestsPerSecond = 700, .maxHedges = 0.05, .maxP99Ratio = 0.95, .maxP999Ratio = 0.4, .gateways = 221, .reported = false },
    { .share = 0.05, .requestsPerSecond = 700, .maxHedges = 0.05, .maxP99Ratio = 0.9, .maxP999Ratio = 1.0, .gateways = 20, .reported = true },
    { .share = 0.05, .requestsPerSecond = 700, .maxHedges = 0.05, .maxP99Ratio = 0.9, .maxP999Ratio = 1.0, .gateways = 45, .reported = true },
    { .share = 0.05, .requestsPerSecond = 700, .maxHedges = 0.05, .maxP99Ratio = 0.9, .maxP999Ratio = 1.0, .gateways = 221, .reported = true },
    { .share = 0.1, .requestsPerSecond = 700, .maxHedges = 0.1, .maxP99Ratio = 0.8, .maxP999Ratio = 1.0, .gateways = 20, .reported = true },
    { .share = 0.1, .requestsPerSecond = 700, .maxHedges = 0.1, .maxP99Ratio = 0.8, .maxP999Ratio = 1.0, .gateways = 45, .reported = true },
    { .share = 0.1, .requestsPerSecond = 700, .maxHedges = 0.1, .maxP99Ratio = 0.8, .maxP999Ratio = 1.0, .gateways = 221, .reported = true },
    { .share = 0.05, .requestsPerSecond = 1000, .maxHedges = 0.005, .maxP99Ratio = 1.02, .maxP999Ratio = 0, .gateways = 20, .reported = false },
    { .share = 0.05, .requestsPerSecond = 1000, .maxHedges = 0.005, .maxP99Ratio = 1.02, .maxP999Ratio = 0, .gateways = 45, .reported = false },
    { .share = 0.05, .requestsPerSecond = 1000, .maxHedges = 0.005, .maxP99Ratio = 1.02, .maxP999Ratio = 0, .gateways = 221, .reported = false },
    { .share = 0.05, .requestsPerSecond = 2000, .maxHedges = 0.0005, .maxP99Ratio = 1.02, .maxP999Ratio = 1.02, .gateways = 20, .reported = false },
    { .share = 0.05, .requestsPerSecond = 2000, .maxHedges = 0.0005, .maxP99Ratio = 1.02, .maxP999Ratio = 1.02, .gateways = 45, .reported = false },
    { .share = 0.05, .requestsPerSecond = 2000, .maxHedges = 0.0005, .maxP99Ratio = 1.02, .maxP999Ratio = 1.02, .gateways = 221, .reported = false },
};

}

// Guards against hedging that gains nothing, exceeds the operators' share, or adds load while the servers have no room.
TEST_CASE("In a model of a pool hedging shortens the slowest responses within its share, and stops while the pool is full")
{
    for (const auto& row : poolCases) {
        auto without = PoolModel(row, 0).run();
        auto with = PoolModel(row, row.share).run();
        auto p99Without = without.quantile(0.99);
        auto p99 = with.quantile(0.99);
        MESSAGE(row.gateways, " gateways, share ", row.share, ", ", row.requestsPerSecond, "/s, ", std::string(row.reported ? "reported" : "not reported"),
            ": p95 ", without.quantile(0.95), " -> ", with.quantile(0.95), ", p99 ", p99Without, " -> ", p99, ", p99.9 ", without.quantile(0.999), " -> ", with.quantile(0.999),
            " ms, hedges ", with.hedges / with.requests, ", won ", with.won / std::max(1.0, with.hedges),
            ", refused ", without.refused / without.requests, " -> ", with.refused / with.requests,
            ", work ", with.workMs / without.workMs, ", most over the share ", with.maxHedgesOverShare);
        CAPTURE(row.gateways);
        CAPTURE(row.share);
        CAPTURE(row.requestsPerSecond);
        CAPTURE(row.reported);
        CHECK(p99 <= row.maxP99Ratio * p99Without);
        if (row.maxP999Ratio > 0)
            CHECK(with.quantile(0.999) <= row.maxP999Ratio * without.quantile(0.999));
        // The share of refused requests varies by 4% over seeds.
        CHECK(with.refused <= 1.05 * without.refused);
        CHECK(with.hedges / with.requests <= row.maxHedges);
        CHECK(with.workMs <= (1 + row.share) * without.workMs);
        constexpr double burst = 10;
        CHECK(with.maxHedgesOverShare <= burst + 1);
    }
}

TEST_CASE("A hedge is due after a high quantile of the route's response times, once there are enough of them")
{
    HedgePolicy policy({ .extraShare = 0.05, .minSamples = 60 });
    CHECK(policy.quantile() == doctest::Approx(0.9));
    HedgePolicy::Timing timing { .expected = fromMilliseconds(10), .hedgeExpected = fromMilliseconds(20), .left = fromMilliseconds(1000), .fallback = fromMilliseconds(77) };
    for (int i = 0; i < 59; ++i)
        policy.onAttemptTime("a", fromMilliseconds(i % 10 == 0 ? 300 : 100), at(0));
    CHECK(policy.due("a", timing, at(0)) == fromMilliseconds(77));
    for (int i = 0; i < 400; ++i)
        policy.onAttemptTime("a", fromMilliseconds(100 + i % 100), at(0));
    REQUIRE(policy.due("a", timing, at(0)));
    CHECK(toMilliseconds(*policy.due("a", timing, at(0))) == doctest::Approx(190).epsilon(0.1));
    // Another route has its own times.
    CHECK(policy.due("b", timing, at(0)) == fromMilliseconds(77));
    // Not before the expected response time of the open attempt, as on a server that is known to be slow.
    timing.expected = fromMilliseconds(500);
    CHECK(policy.due("a", timing, at(0)) == fromMilliseconds(500));
    // Not if the response would miss the deadline.
    timing.left = fromMilliseconds(510);
    CHECK(!policy.due("a", timing, at(0)));
    timing.left = fromMilliseconds(520);
    CHECK(policy.due("a", timing, at(0)));
    // Removed routes take no memory.
    policy.retainRoutes([](const std::string& name) { return name != "a"; });
    timing = { .expected = fromMilliseconds(10), .hedgeExpected = fromMilliseconds(20), .left = fromMilliseconds(1000), .fallback = fromMilliseconds(77) };
    CHECK(policy.due("a", timing, at(0)) == fromMilliseconds(77));
}

// Guards against hedging by times of an hour ago.
TEST_CASE("Older response times lose their weight, and very old ones are not used")
{
    HedgePolicy policy({ .extraShare = 0.05 });
    HedgePolicy::Timing timing { .expected = {}, .hedgeExpected = {}, .left = fromMilliseconds(10'000), .fallback = fromMilliseconds(77) };
    for (int i = 0; i < 1000; ++i)
        policy.onAttemptTime("a", fromMilliseconds(1000), at(i));
    constexpr double minuteMs = 60'000;
    for (int i = 0; i < 600; ++i)
        policy.onAttemptTime("a", fromMilliseconds(100), at(minuteMs + i * 200));
    REQUIRE(policy.due("a", timing, at(3 * minuteMs)));
    CHECK(toMilliseconds(*policy.due("a", timing, at(3 * minuteMs))) == doctest::Approx(100).epsilon(0.1));
    CHECK(policy.due("a", timing, at(30 * minuteMs)) == fromMilliseconds(77));
}

TEST_CASE("All gateways together send hedges for at most their share of the requests, and the burst")
{
    for (int gateways : { 1, 20, 45, 221 }) {
        CAPTURE(gateways);
        constexpr double share = 0.02;
        constexpr double burst = 10;
        constexpr double retriesLeft = 10;
        double hedges = 0;
        double requests = 0;
        std::vector<HedgePolicy> policies(static_cast<std::size_t>(gateways), HedgePolicy({ .extraShare = share, .burst = burst, .gateways = gateways }));
        for (int i = 0; i < 20000; ++i) {
            auto& policy = policies[static_cast<std::size_t>(i % gateways)];
            policy.onRequest(at(i));
            requests += 1;
            while (policy.check(retriesLeft, at(i)) == HedgeVerdict::Allowed) {
                policy.take();
                hedges += 1;
            }
            if (hedges > share * requests + burst)
                FAIL("share exceeded");
        }
        CHECK(hedges >= share * requests - gateways);
        // Requests that another gateway serves count there.
        auto& policy = policies.front();
        for (int i = 0; i < 1000; ++i) {
            policy.onRequest(at(20000));
            policy.onRequestHandedOver();
        }
        CHECK(policy.check(retriesLeft, at(20000)) == HedgeVerdict::NoBudget);
    }
}

TEST_CASE("Hedges leave attempts of the retry budget to retries, and stop while servers refuse requests")
{
    HedgePolicy policy({ .extraShare = 0.5, .pushbackMemory = std::chrono::seconds(10), .retryReserve = 1 });
    for (int i = 0; i < 100; ++i)
        policy.onRequest(at(0));
    CHECK(policy.check(2, at(0)) == HedgeVerdict::Allowed);
    CHECK(policy.check(1.9, at(0)) == HedgeVerdict::NoRetryBudget);
    for (int i = 0; i < 3; ++i)
        policy.onPushback(at(0));
    CHECK(policy.check(2, at(0)) == HedgeVerdict::Allowed);
    policy.onPushback(at(0));
    CHECK(policy.check(2, at(0)) == HedgeVerdict::Busy);
    // Allowed again once the refusals are a small share of the recent requests.
    for (int i = 0; i < 100; ++i)
        policy.onRequest(at(5000));
    CHECK(policy.check(2, at(5000)) == HedgeVerdict::Allowed);
}

struct AcceptCase {
    std::string what;
    ServerSignal signal;
    double elapsedMs;
    int priority;
    bool accepts;
};

const AcceptCase acceptCases[] = {
    { "idle", { .slots = 6 }, 200, 1, true },
    { "slots left below the knee", { .running = 3, .slots = 6 }, 200, 1, true },
    { "only slots beyond the knee left", { .running = 4, .slots = 6 }, 200, 1, false },
    { "only slots beyond the knee left, most urgent request", { .running = 4, .slots = 6 }, 200, 0, false },
    { "reports itself unhealthy", { .slots = 6, .healthy = false }, 200, 1, false },
    { "cold", { .slots = 6, .cold = true }, 1000, 1, false },
    { "needs longer than the open attempt is expected to", { .slots = 6, .slowness = 3 }, 200, 1, false },
    { "slow, but the open attempt is older", { .slots = 6, .slowness = 3 }, 400, 1, true },
};

TEST_CASE("A hedge goes only to a server with free capacity that will probably respond before the open attempt")
{
    for (const auto& row : acceptCases) {
        CAPTURE(row.what);
        CHECK(Decisions::acceptsHedge(row.signal, 100, row.priority, row.elapsedMs, {}) == row.accepts);
    }
}
