#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "Decisions/ServerPool.h"

// A discrete-event simulation in virtual time of backend servers with slots and queues, and of entries that select among
// them, to compare load-balancing policies.
namespace FakeServers {

using Common::Duration;
using Common::TimePoint;
using Decisions::AttemptEnd;
using Decisions::AttemptStage;

struct Options {
    Records::Policy policy = Records::Policy::Adaptive;
    std::uint64_t seed = 1;
    int entries = 8;
    std::vector<int> slots = std::vector<int>(24, 4); // of each server
    double serviceMs = 6; // mean: half of it constant, half exponentially distributed
    double networkMs = 1.5; // one way
    double utilization = 0.7; // of all slots
    double seconds = 5;
    double warmUpSeconds = 2; // left out of the results
    std::function<double(int server, double atSeconds)> slowdown = [](int, double) { return 1.0; };
    std::function<int(int server, int inFlight)> report = [](int, int inFlight) { return inFlight; };
    std::function<bool(int server, double atSeconds)> failing = [](int, double) { return false; }; // answers with status 500 at once
};

struct Outcome {
    std::vector<double> latenciesMs;
    std::vector<int> served; // requests answered by each server
    int failed = 0;
    double p99() const { return quantile(0.99); }
    double quantile(double q) const
    {
        auto sorted = latenciesMs;
        std::sort(sorted.begin(), sorted.end());
        return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
    }
};

class Simulation {
public:
    explicit Simulation(Options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    {
        Common::Hooks hooks { .now = [this] { return m_now; }, .random = [this] { return m_random(); } };
        std::vector<Decisions::ServerSpec> specs;
        for (std::size_t i = 0; i < m_options.slots.size(); ++i)
            specs.push_back({ .address = "10.0.0." + std::to_string(i) + ":80", .failureDomain = "a" });
        for (int i = 0; i < m_options.entries; ++i) {
            m_pools.push_back(std::make_unique<Decisions::ServerPool>(Decisions::PoolOptions { .policy = m_options.policy }, hooks));
            m_pools.back()->setServers(specs);
        }
        for (std::size_t i = 0; i < specs.size(); ++i)
            m_index[specs[i].address] = static_cast<int>(i);
        m_servers.resize(specs.size());
        m_outcome.served.resize(specs.size());
    }

    Outcome run()
    {
        scheduleArrival();
        while (!m_events.empty()) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        return m_outcome;
    }

private:
    struct Event {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };
    struct Request {
        Decisions::ServerPool* pool;
        Decisions::Ticket ticket;
        int server;
    };
    struct Server {
        int busy = 0;
        std::deque<Request> queue;
    };

    double seconds() const { return std::chrono::duration<double>(m_now.time_since_epoch()).count(); }
    double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(m_random); }
    void schedule(double delayMs, std::function<void()> action)
    {
        m_events.push({ m_now + Common::fromMilliseconds(delayMs), ++m_lastOrder, std::move(action) });
    }

    void scheduleArrival()
    {
        if (seconds() >= m_options.seconds)
            return;
        auto total = 0;
        for (auto n : m_options.slots)
            total += n;
        auto arrivalsPerMs = m_options.utilization * total / m_options.serviceMs;
        schedule(exponential(1 / arrivalsPerMs), [this] { scheduleArrival(); });
        if (m_now == TimePoint())
            return;
        auto& pool = *m_pools[m_random() % m_pools.size()];
        auto ticket = pool.choose({});
        if (!ticket)
            return;
        auto server = m_index.at(ticket->address);
        schedule(m_options.networkMs, [this, request = Request { &pool, *ticket, server }] { deliver(request); });
    }

    void deliver(const Request& request)
    {
        auto& server = m_servers[static_cast<std::size_t>(request.server)];
        if (m_options.failing(request.server, seconds())) {
            schedule(m_options.networkMs, [this, request] { respond(request, 500, 0); });
            return;
        }
        if (server.busy < m_options.slots[static_cast<std::size_t>(request.server)])
            serve(request);
        else
            server.queue.push_back(request);
    }

    void serve(const Request& request)
    {
        ++m_servers[static_cast<std::size_t>(request.server)].busy;
        schedule((m_options.serviceMs / 2 + exponential(m_options.serviceMs / 2)) * m_options.slowdown(request.server, seconds()),
            [this, request] {
                auto& server = m_servers[static_cast<std::size_t>(request.server)];
                --server.busy;
                auto load = m_options.report(request.server, server.busy + static_cast<int>(server.queue.size()));
                schedule(m_options.networkMs, [this, request, load] { respond(request, 200, load); });
                if (!server.queue.empty()) {
                    auto next = server.queue.front();
                    server.queue.pop_front();
                    serve(next);
                }
            });
    }

    void respond(const Request& request, int status, int load)
    {
        auto slots = m_options.slots[static_cast<std::size_t>(request.server)];
        request.pool->finish(request.ticket,
            { .end = { .stage = AttemptStage::Answered, .status = status }, .load = Decisions::LoadReport { .inFlight = load, .slots = slots } });
        auto sentAt = std::chrono::duration<double>(request.ticket.chosenAt.time_since_epoch()).count();
        if (sentAt < m_options.warmUpSeconds)
            return;
        ++m_outcome.served[static_cast<std::size_t>(request.server)];
        m_outcome.failed += status != 200;
        m_outcome.latenciesMs.push_back(Common::toMilliseconds(m_now - request.ticket.chosenAt));
    }

    Options m_options;
    std::mt19937_64 m_random;
    TimePoint m_now;
    std::priority_queue<Event> m_events;
    std::uint64_t m_lastOrder = 0;
    std::vector<std::unique_ptr<Decisions::ServerPool>> m_pools;
    std::unordered_map<std::string, int> m_index;
    std::vector<Server> m_servers;
    Outcome m_outcome;
};

}
