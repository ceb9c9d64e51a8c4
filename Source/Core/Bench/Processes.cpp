#include "Bench/Processes.h"

#include <csignal>
#include <cstdio>
#include <map>
#include <memory>

#include <fmt/format.h>
#include <json/json.h>

#include "Bench/BackendStandIn.h"
#include "Bench/LoadGenerator.h"
#include "Bench/PlatformStandIn.h"
#include "Common/JsonText.h"

namespace Bench {

namespace {

    // Signals that end the process, blocked in all threads that are started while it lives.
    class EndSignals {
    public:
        EndSignals()
        {
            sigemptyset(&m_set);
            sigaddset(&m_set, SIGINT);
            sigaddset(&m_set, SIGTERM);
            pthread_sigmask(SIG_BLOCK, &m_set, nullptr);
        }

        void wait() const
        {
            int signal = 0;
            sigwait(&m_set, &signal);
        }

    private:
        sigset_t m_set {};
    };

    void printAddress(const std::string& address)
    {
        fmt::print("{}\n", address);
        std::fflush(stdout);
    }

}

int runPlatformProcess()
{
    EndSignals signals;
    PlatformStandIn platform;
    printAddress(platform.address());
    signals.wait();
    return 0;
}

int runBackendProcess(const BackendProcessOptions& options)
{
    EndSignals signals;
    Ledger ledger;
    EventLoop loop;
    std::vector<std::unique_ptr<BackendStandIn>> servers;
    for (int i = 0; i < options.servers; ++i) {
        BackendOptions backend { .number = i, .slots = options.slots, .serviceTime = Common::fromMilliseconds(options.serviceMs) };
        servers.push_back(std::make_unique<BackendStandIn>(std::move(backend), ledger, &loop));
        printAddress(servers.back()->address());
    }
    signals.wait();
    for (const auto& server : servers)
        fmt::print(stderr, "backend {}: {} requests, {} probes, {} connections\n", server->address(), server->counts().requests.load(), server->counts().probes.load(), server->counts().connections.load());
    return 0;
}

int runLoadProcess(const LoadProcessOptions& options)
{
    CallKind kind { .method = options.method, .path = options.path, .never = options.method != "GET" };
    auto result = runLoad({
        .entries = options.entries,
        .services = { { .name = options.service, .callsPerSecond = options.callsPerSecond, .calls = { kind } } },
        .duration = std::chrono::seconds(options.seconds),
        .seed = options.seed,
        .direct = {},
    });
    std::map<std::string, Json::UInt64> outcomes;
    std::vector<Common::Duration> latencies;
    for (const auto& call : result.calls) {
        ++outcomes[call.outcome.empty() ? "none" : call.outcome];
        latencies.push_back(call.latency);
    }
    Json::Value json;
    json["calls"] = Json::UInt64(result.calls.size());
    for (const auto& [outcome, n] : outcomes)
        json["outcomes"][outcome] = n;
    json["p50_ms"] = quantileMs(latencies, 0.5);
    json["p99_ms"] = quantileMs(latencies, 0.99);
    fmt::print("{}\n", Common::jsonText(json));
    return outcomes.contains("none") ? 1 : 0;
}

}
