#include "Decisions/Placement.h"

#include <algorithm>
#include <array>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

// Plays a heavy day against the decisions alone: servers with a knee and noisy neighbours, three kinds of request, callers
// that come back after a refusal. No network, no threads, virtual time in milliseconds.

namespace {

using Decisions::PlacementOptions;
using Decisions::ServerSignal;

struct Kind {
    double perSecond;
    double workMs;
    double goalMs;
    double deadlineMs;
    double worth;
    int priority;
};

// Luzon's desk: browsing, reserving, paying.
constexpr std::array kinds {
    Kind { 191, 120, 300, 1200, 1, 2 },
    Kind { 105, 160, 400, 1500, 2, 1 },
    Kind { 55, 84, 250, 800, 3, 0 },
};

constexpr int serverCount = 30;
constexpr int slots = 6;
constexpr double kneeSlots = 4.8;
constexpr double kneeFactor = 1.7;
constexpr double noiseShare = 0.35;
constexpr double noiseFactor = 4;
constexpr double noiseMs = 300;
constexpr double stepMs = 2;
constexpr double lengthMs = 12000;

struct Work {
    int kind = 0;
    double arrived = 0; // at the caller's first attempt
    double left = 0; // unloaded work
    double deadline = 0;
};

struct Server {
    std::vector<Work> running;
    std::vector<Work> waiting;
    double noisyUntil = 0;
    double nextNoise = 0;
};

struct Policy {
    std::string name;
    int asked = 1; // servers whose fresh report is looked at
    bool keepsRoom = true; // nothing beyond the knee but the most urgent
    bool looksAtNoise = true;
};

struct Result {
    double worth = 0; // earned in time, of what was owed
    std::array<double, kinds.size()> inTime {}; // share by kind
};

struct Return {
    double at = 0;
    Work work;
    int tries = 0;
    bool operator>(const Return& other) const { return at > other.at; }
};

class Day {
public:
    Day(const Policy& policy, double load, unsigned seed)
        : m_policy(policy)
        , m_load(load)
        , m_random(seed)
        , m_servers(serverCount)
    {
    }

    Result play()
    {
        for (m_now = 0; m_now < lengthMs; m_now += stepMs) {
            arrive();
            while (!m_returns.empty() && m_returns.top().at <= m_now) {
                auto back = m_returns.top();
                m_returns.pop();
                offer(back.work, back.tries);
            }
            for (auto& server : m_servers)
                advance(server);
        }
        Result result;
        double owed = 0;
        double earned = 0;
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            result.inTime[i] = m_inTime[i] / std::max(1.0, m_owed[i]);
            owed += m_owed[i] * kinds[i].worth;
            earned += m_inTime[i] * kinds[i].worth;
        }
        result.worth = earned / owed;
        return result;
    }

private:
    double unit() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void arrive()
    {
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            std::poisson_distribution<int> arrivals(kinds[i].perSecond * m_load * stepMs / 1000);
            for (auto n = arrivals(m_random); n > 0; --n) {
                m_owed[i] += m_now < lengthMs - kinds[i].deadlineMs ? 1 : 0;
                offer({ .kind = static_cast<int>(i), .arrived = m_now, .left = kinds[i].workMs * (0.7 + 0.6 * unit()), .deadline = m_now + kinds[i].deadlineMs }, 0);
            }
        }
    }

    ServerSignal signalOf(const Server& server) const
    {
        auto noisy = m_now < server.noisyUntil;
        return { .running = static_cast<int>(server.running.size()), .waiting = static_cast<int>(server.waiting.size()), .slots = slots, .workFactor = noisy && m_policy.looksAtNoise ? noiseFactor : 1 };
    }

    void offer(const Work& work, int tries)
    {
        const auto& kind = kinds[static_cast<std::size_t>(work.kind)];
        std::vector<ServerSignal> signals;
        std::vector<std::size_t> candidates;
        for (int i = 0; i < m_policy.asked; ++i) {
            auto index = m_random() % m_servers.size();
            auto signal = signalOf(m_servers[index]);
            if (m_policy.keepsRoom && !Decisions::hasCapacity(signal, kind.priority, m_options))
                continue;
            signals.push_back(signal);
            candidates.push_back(index);
        }
        if (!candidates.empty()) {
            m_servers[candidates[Decisions::bestServer(signals, kind.workMs, m_options)]].waiting.push_back(work);
            return;
        }
        constexpr int maxTries = 2;
        constexpr double retryMs = 40;
        if (tries < maxTries)
            m_returns.push({ .at = m_now + retryMs * (0.5 + unit()), .work = work, .tries = tries + 1 });
    }

    void advance(Server& server)
    {
        if (m_now >= server.nextNoise) {
            server.nextNoise = m_now + noiseMs;
            server.noisyUntil = unit() < noiseShare ? m_now + noiseMs : 0;
        }
        while (server.running.size() < slots && !server.waiting.empty()) {
            server.running.push_back(server.waiting.front());
            server.waiting.erase(server.waiting.begin());
        }
        auto factor = (m_now < server.noisyUntil ? noiseFactor : 1) * (static_cast<double>(server.running.size()) > kneeSlots ? kneeFactor : 1);
        for (auto& work : server.running)
            work.left -= stepMs / factor;
        std::erase_if(server.running, [&](const Work& work) {
            const auto& kind = kinds[static_cast<std::size_t>(work.kind)];
            auto counts = work.arrived < lengthMs - kind.deadlineMs;
            if (work.left <= 0 && counts && m_now - work.arrived <= kind.goalMs)
                m_inTime[static_cast<std::size_t>(work.kind)] += 1;
            return work.left <= 0 || m_now > work.deadline;
        });
        std::erase_if(server.waiting, [&](const Work& work) { return m_now > work.deadline; });
    }

    Policy m_policy;
    double m_load;
    std::mt19937_64 m_random;
    PlacementOptions m_options;
    std::vector<Server> m_servers;
    std::priority_queue<Return, std::vector<Return>, std::greater<>> m_returns;
    std::array<double, kinds.size()> m_owed {};
    std::array<double, kinds.size()> m_inTime {};
    double m_now = 0;
};

Result average(const Policy& policy, double load)
{
    constexpr unsigned days = 4;
    Result sum;
    for (unsigned seed = 1; seed <= days; ++seed) {
        auto result = Day(policy, load, seed).play();
        sum.worth += result.worth / days;
        for (std::size_t i = 0; i < kinds.size(); ++i)
            sum.inTime[i] += result.inTime[i] / days;
    }
    return sum;
}

const Policy random { .name = "one random server", .asked = 1, .keepsRoom = false };
const Policy fills { .name = "best of four, fills all slots", .asked = 4, .keepsRoom = false };
const Policy blind { .name = "best of four, blind to noise", .asked = 4, .looksAtNoise = false };
const Policy chosen { .name = "best of four below the knee", .asked = 4 };

struct Case {
    std::string what;
    Policy worse;
    double load;
    double gain; // least difference of the worth earned in time
};

const Case cases[] = {
    { "asking beats not asking on a usual day", random, 1, 0.1 },
    { "and on a heavy one", random, 1.6, 0.2 },
    { "the noise that servers report is worth looking at", blind, 1, 0.02 },
    { "on the heaviest day slots kept free serve more than slots filled", fills, 2.0, 0.05 },
};

}

TEST_CASE("What callers get on heavy days, by way of placing")
{
    for (const auto& row : cases) {
        CAPTURE(row.what);
        auto better = average(chosen, row.load);
        auto worse = average(row.worse, row.load);
        CAPTURE(better.worth);
        CAPTURE(worse.worth);
        CHECK(better.worth >= worse.worth + row.gain);
    }
}

TEST_CASE("The more urgent a kind of request, the more of it is in time when there is too much")
{
    auto result = average(chosen, 2.2);
    CHECK(result.inTime[2] >= result.inTime[1]);
    CHECK(result.inTime[1] >= result.inTime[0] - 0.1);
    CHECK(result.inTime[2] > 0.9);
}
