#include "Bench/Figures.h"

#include <algorithm>

#include "Bench/Oracle.h"

namespace Bench {

namespace {

    // Connections are opened in this time, over each route; its calls are checked, but their latency is not stated.
    constexpr auto warmUp = std::chrono::milliseconds(1000);

    Common::TimePoint firstIntended(const std::vector<CallRecord>& calls)
    {
        if (calls.empty())
            return {};
        return std::min_element(calls.begin(), calls.end(), [](const auto& a, const auto& b) { return a.intended < b.intended; })->intended;
    }

    bool hits(const Fault& fault, int server)
    {
        return isServerFault(fault.kind) && std::find(fault.targets.begin(), fault.targets.end(), server) != fault.targets.end();
    }

    std::vector<OracleServer> oracleServers(const Deployment& deployment, std::size_t service, const Plan& plan, const Fleet& fleet)
    {
        std::vector<OracleServer> servers;
        for (auto number : serversOf(deployment, service)) {
            const auto& backend = fleet.servers()[static_cast<std::size_t>(number)]->options();
            servers.push_back({ .slots = backend.slots, .speed = backend.speed, .faults = {} });
            std::copy_if(plan.faults.begin(), plan.faults.end(), std::back_inserter(servers.back().faults), [&](const Fault& fault) { return hits(fault, number); });
        }
        return servers;
    }

    std::vector<OracleCall> oracleCalls(const Deployment& deployment, std::size_t service, const LoadResult& load, const Fleet& fleet)
    {
        const auto& backend = fleet.servers()[static_cast<std::size_t>(serversOf(deployment, service).front())]->options();
        auto start = firstIntended(load.calls);
        std::vector<OracleCall> calls;
        for (const auto& call : load.calls) {
            if (call.route == Route::Entry && call.service == static_cast<int>(service))
                calls.push_back({ .at = call.intended - start, .work = BackendStandIn::workOf(backend, call.id) });
        }
        std::sort(calls.begin(), calls.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
        return calls;
    }

}

RouteLatency latencyOf(const std::vector<CallRecord>& calls, Route route, int service)
{
    std::vector<Common::Duration> latencies;
    auto first = firstIntended(calls);
    for (const auto& call : calls) {
        if (call.intended < first + warmUp)
            continue;
        if (call.route == route && call.outcome != "not-run" && (service < 0 || call.service == service))
            latencies.push_back(call.latency);
    }
    constexpr double median = 0.5;
    return { .calls = latencies.size(), .p50 = quantileMs(latencies, median), .p99 = quantileMs(latencies, 0.99), .p999 = quantileMs(latencies, 0.999) };
}

double lagP99(const std::vector<CallRecord>& calls)
{
    std::vector<Common::Duration> lags;
    for (const auto& call : calls)
        lags.push_back(call.lag);
    return quantileMs(std::move(lags), 0.99);
}

ServiceSummary summarize(std::size_t index, const Deployment& deployment, const LoadResult& load, Fleet& fleet, double seconds)
{
    const auto& shape = deployment.services[index];
    ServiceSummary summary { .name = shape.name, .latency = latencyOf(load.calls, Route::Entry, static_cast<int>(index)), .probeBudget = shape.probeBudget };
    for (const auto& call : load.calls) {
        if (call.route != Route::Entry || call.service != static_cast<int>(index))
            continue;
        ++summary.calls;
        ++(call.outcome == "answered" ? summary.answered : (call.outcome == "not-run" ? summary.notRun : summary.unknown));
    }
    auto probes = static_cast<double>(fleet.ledger().probes(shape.name).size());
    summary.probesPerSecond = probes / seconds;
    double slotSeconds = 0;
    double probeSeconds = 0;
    for (const auto& server : fleet.servers()) {
        if (server->options().service == shape.name) {
            slotSeconds += server->options().slots * seconds;
            probeSeconds += static_cast<double>(server->counts().probes) * std::chrono::duration<double>(server->options().probeCost).count();
        }
    }
    summary.probeCostShare = probeSeconds / slotSeconds;
    return summary;
}

double oracleP99Ms(const Deployment& deployment, const Plan& plan, const LoadResult& load, const Fleet& fleet)
{
    if (plan.depth > 0)
        return 0;
    std::vector<Common::Duration> latencies;
    for (std::size_t service = 0; service < deployment.services.size(); ++service) {
        auto calls = oracleCalls(deployment, service, load, fleet);
        auto all = oracleLatencies(oracleServers(deployment, service, plan, fleet), calls);
        for (std::size_t i = 0; i < all.size(); ++i) {
            if (calls[i].at >= warmUp)
                latencies.push_back(all[i]);
        }
    }
    return quantileMs(std::move(latencies), 0.99);
}

}
