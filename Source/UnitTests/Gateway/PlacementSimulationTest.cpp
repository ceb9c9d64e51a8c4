#include "Decisions/Placement.h"

#include <algorithm>
#include <array>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

// Simulates the placement decisions under load: servers that slow down when most slots are in use (the knee) or a neighbour
// takes their CPU, three kinds of request, and callers that retry after a refusal. No network and no threads; virtual time in
// milliseconds.

namespace {

using Decisions::PlacementOptions;
using Decisions::ServerSignal;

struct RequestKind {
    double ratePerSecond;
    double serviceTimeMs;
    double goalMs; // a later response counts as lost
    double deadlineMs; // after arrival; then the request is cancelled
    double value; // of one response in time
    int priority; // 0 is the most urgent
};

// Request mix of a booking service: browsing, reserving, paying.
constexpr std::array kinds {
    RequestKind { 191, 120, 300, 1200, 1, 2 },
    RequestKind { 105, 160, 400, 1500, 2, 1 },
    RequestKind { 55, 84, 250, 800, 3, 0 },
};

constexpr int serverCount = 30;
constexpr int slots = 6;
constexpr double kneeSlots = 4.8; // with more in use, all requests of the server slow down
constexpr double kneeSlowdown = 1.7;
// In each period of neighbourLoadMs a server is slowed down by its neighbour with this probability.
constexpr double neighbourLoadShare = 0.35;
constexpr double neighbourSlowdown = 4;
constexpr double neighbourLoadMs = 300;
constexpr double stepMs = 2;
constexpr double durationMs = 12000;

struct Request {
    int kind = 0;
    double arrivedMs = 0; // when the caller first sent it
    double remainingMs = 0; // service time still needed on an unloaded server
    double deadlineMs = 0;
};

struct Server {
    std::vector<Request> running;
    std::vector<Request> waiting;
    double neighbourLoadUntilMs = 0;
    double nextNeighbourChangeMs = 0;
};

struct Policy {
    std::string name;
    int probes = 1; // servers probed for each request
    bool keepsReserve = true; // only the most urgent requests use slots beyond the knee
    bool usesWorkFactor = true; // placement takes the reported work factor into account
};

struct Result {
    double value = 0; // of the responses in time, as a share of the value of all requests
    std::array<double, kinds.size()> inTime {}; // share of requests answered within their goal, by kind
};

// A caller that was refused and sends its request again.
struct CallerRetry {
    double atMs = 0;
    Request request;
    int retries = 0;
    bool operator>(const CallerRetry& other) const { return atMs > other.atMs; }
};

class LoadSimulation {
public:
    LoadSimulation(const Policy& policy, double load, unsigned seed)
        : m_policy(policy)
        , m_load(load)
        , m_random(seed)
        , m_servers(serverCount)
    {
    }

    Result run()
    {
        for (m_nowMs = 0; m_nowMs < durationMs; m_nowMs += stepMs) {
            generateArrivals();
            while (!m_callerRetries.empty() && m_callerRetries.top().atMs <= m_nowMs) {
                auto retry = m_callerRetries.top();
                m_callerRetries.pop();
                place(retry.request, retry.retries);
            }
            for (auto& server : m_servers)
                advance(server);
        }
        Result result;
        double due = 0;
        double achieved = 0;
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            result.inTime[i] = m_inTime[i] / std::max(1.0, m_due[i]);
            due += m_due[i] * kinds[i].value;
            achieved += m_inTime[i] * kinds[i].value;
        }
        result.value = achieved / due;
        return result;
    }

private:
    double unit() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void generateArrivals()
    {
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            std::poisson_distribution<int> arrivals(kinds[i].ratePerSecond * m_load * stepMs / 1000);
            for (auto n = arrivals(m_random); n > 0; --n) {
                m_due[i] += m_nowMs < durationMs - kinds[i].deadlineMs ? 1 : 0;
                place({ .kind = static_cast<int>(i),
                          .arrivedMs = m_nowMs,
                          .remainingMs = kinds[i].serviceTimeMs * (0.7 + 0.6 * unit()),
                          .deadlineMs = m_nowMs + kinds[i].deadlineMs },
                    0);
            }
        }
    }

    ServerSignal signalOf(const Server& server) const
    {
        auto slowed = m_nowMs < server.neighbourLoadUntilMs;
        return {
            .running = static_cast<int>(server.running.size()),
            .waiting = static_cast<int>(server.waiting.size()),
            .slots = slots,
            .workFactor = slowed && m_policy.usesWorkFactor ? neighbourSlowdown : 1,
        };
    }

    void place(const Request& request, int retries)
    {
        const auto& kind = kinds[static_cast<std::size_t>(request.kind)];
        std::vector<ServerSignal> signals;
        std::vector<std::size_t> candidates;
        for (int i = 0; i < m_policy.probes; ++i) {
            auto index = m_random() % m_servers.size();
            auto signal = signalOf(m_servers[index]);
            if (m_policy.keepsReserve && !Decisions::hasCapacity(signal, kind.priority, m_options))
                continue;
            signals.push_back(signal);
            candidates.push_back(index);
        }
        if (!candidates.empty()) {
            m_servers[candidates[Decisions::bestServer(signals, kind.serviceTimeMs, m_options)]].waiting.push_back(request);
            return;
        }
        constexpr int maxRetries = 2;
        constexpr double retryMs = 40;
        if (retries < maxRetries)
            m_callerRetries.push({ .atMs = m_nowMs + retryMs * (0.5 + unit()), .request = request, .retries = retries + 1 });
    }

    void advance(Server& server)
    {
        if (m_nowMs >= server.nextNeighbourChangeMs) {
            server.nextNeighbourChangeMs = m_nowMs + neighbourLoadMs;
            server.neighbourLoadUntilMs = unit() < neighbourLoadShare ? m_nowMs + neighbourLoadMs : 0;
        }
        while (server.running.size() < slots && !server.waiting.empty()) {
            server.running.push_back(server.waiting.front());
            server.waiting.erase(server.waiting.begin());
        }
        auto factor = (m_nowMs < server.neighbourLoadUntilMs ? neighbourSlowdown : 1) * (static_cast<double>(server.running.size()) > kneeSlots ? kneeSlowdown : 1);
        for (auto& request : server.running)
            request.remainingMs -= stepMs / factor;
        std::erase_if(server.running, [&](const Request& request) {
            const auto& kind = kinds[static_cast<std::size_t>(request.kind)];
            auto counts = request.arrivedMs < durationMs - kind.deadlineMs;
            if (request.remainingMs <= 0 && counts && m_nowMs - request.arrivedMs <= kind.goalMs)
                m_inTime[static_cast<std::size_t>(request.kind)] += 1;
            return request.remainingMs <= 0 || m_nowMs > request.deadlineMs;
        });
        std::erase_if(server.waiting, [&](const Request& request) { return m_nowMs > request.deadlineMs; });
    }

    Policy m_policy;
    double m_load;
    std::mt19937_64 m_random;
    PlacementOptions m_options;
    std::vector<Server> m_servers;
    std::priority_queue<CallerRetry, std::vector<CallerRetry>, std::greater<>> m_callerRetries;
    std::array<double, kinds.size()> m_due {};
    std::array<double, kinds.size()> m_inTime {};
    double m_nowMs = 0;
};

Result average(const Policy& policy, double load)
{
    constexpr unsigned seeds = 4;
    Result sum;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        auto result = LoadSimulation(policy, load, seed).run();
        sum.value += result.value / seeds;
        for (std::size_t i = 0; i < kinds.size(); ++i)
            sum.inTime[i] += result.inTime[i] / seeds;
    }
    return sum;
}

const Policy randomServer { .name = "one random server", .probes = 1, .keepsReserve = false };
const Policy fillsAllSlots { .name = "best of four, fills all slots", .probes = 4, .keepsReserve = false };
const Policy ignoresWorkFactor { .name = "best of four, ignores the work factor", .probes = 4, .usesWorkFactor = false };
const Policy production { .name = "best of four below the knee", .probes = 4 };

struct Case {
    std::string what;
    Policy baseline;
    double load;
    double minGain; // by which the production policy exceeds the baseline in Result::value
};

const Case cases[] = {
    { "load probes beat random choice at normal load", randomServer, 1, 0.1 },
    { "load probes beat random choice at 1.6 times normal load", randomServer, 1.6, 0.2 },
    { "using the reported work factor beats ignoring it at normal load", ignoresWorkFactor, 1, 0.02 },
    { "keeping slots beyond the knee free beats filling them at twice the normal load", fillsAllSlots, 2.0, 0.05 },
};

}

TEST_CASE("The production placement policy answers more requests in time than simpler ones")
{
    for (const auto& row : cases) {
        CAPTURE(row.what);
        auto result = average(production, row.load);
        auto baseline = average(row.baseline, row.load);
        CAPTURE(result.value);
        CAPTURE(baseline.value);
        CHECK(result.value >= baseline.value + row.minGain);
    }
}

TEST_CASE("In overload, more urgent requests are answered in time more often")
{
    auto result = average(production, 2.2);
    CHECK(result.inTime[2] >= result.inTime[1]);
    CHECK(result.inTime[1] >= result.inTime[0] - 0.1);
    CHECK(result.inTime[2] > 0.9);
}
