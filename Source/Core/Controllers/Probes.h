#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "Controllers/BackendServers.h"

namespace Controllers {

struct ProbesOptions {
    Common::Hooks hooks;
    // Reads the load that an answer's headers report.
    std::function<std::optional<Decisions::LoadReport>(const std::vector<Backends::Header>&)> loadOf;
    Common::Duration timeout = std::chrono::seconds(1);
    int threads = 4; // probes in flight at most
};

// Sends GET /probe to the backend servers that traffic tells too little of. One thread plans, a few wait for answers.
class Probes {
public:
    Probes(ProbesOptions, BackendServers&);
    ~Probes();
    Probes(const Probes&) = delete;
    Probes& operator=(const Probes&) = delete;

    void start();
    void stop();
    // Probes sent since the start, whether answered or not.
    std::uint64_t probesSent() const { return m_sent; }

private:
    void plan();
    void work();
    Decisions::AttemptReport probe(ProbeOrder&);

    ProbesOptions m_options;
    BackendServers& m_servers;
    std::atomic<std::uint64_t> m_sent { 0 };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<ProbeOrder> m_orders;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

}
