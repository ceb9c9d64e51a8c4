#include "Bench/ScenarioRun.h"

#include <algorithm>
#include <memory>

#include <fmt/format.h>

#include "Bench/FaultRunner.h"
#include "Bench/Figures.h"
#include "Bench/Fleet.h"
#include "Bench/Relay.h"
#include "Bench/RevisionWatch.h"
#include "Platform/HttpPlatform.h"

namespace Bench {

namespace {

    LoadOptions loadOptions(const RunOptions& options, const Deployment& deployment, const Plan& plan, const Fleet& fleet)
    {
        LoadOptions load {
            .entries = fleet.entryAddresses(),
            .failureDomains = deployment.failureDomains,
            .services = {},
            .duration = std::chrono::seconds(options.seconds),
            .burst = plan.burst,
            .deadlineMs = plan.deadlineMs,
            .seed = options.seed,
            .resendUnknown = plan.resendUnknown,
            .direct = {},
            .relay = {},
        };
        for (std::size_t i = 0; i < deployment.services.size(); ++i) {
            auto byLoad = plan.load * fleet.capacity(i) / std::max(plan.depth, 1);
            load.services.push_back({ .name = deployment.services[i].name, .callsPerSecond = plan.callsPerSecond > 0 ? plan.callsPerSecond : byLoad, .calls = deployment.services[i].calls });
        }
        if (plan.baselines)
            load.direct = fleet.backendAddresses(0);
        return load;
    }

    void countServers(const Fleet& fleet, int depth, RunReport& report)
    {
        std::uint64_t requests = 0;
        for (const auto& server : fleet.servers()) {
            requests += server->counts().requests;
            report.mostConnections = std::max(report.mostConnections, server->counts().mostConnections.load());
            report.connectionsRefused += server->counts().connectionsRefused;
        }
        if (report.verdict.calls > 0)
            report.workFactor = static_cast<double>(requests - std::min(requests, report.baselineCalls)) / static_cast<double>(report.verdict.calls) / std::max(depth, 1);
    }

    void judge(const Plan& plan, RunReport& report)
    {
        const auto& expectation = plan.expectation;
        const auto& verdict = report.verdict;
        auto require = [&](bool holds, std::string reason) {
            if (!holds)
                report.reasons.push_back(std::move(reason));
        };
        require(verdict.calls > 0, "no calls were made");
        require(verdict.lost == 0, fmt::format("{} calls lost", verdict.lost));
        require(verdict.doubled == 0, fmt::format("{} calls doubled", verdict.doubled));
        require(verdict.wrongBody == 0, fmt::format("{} wrong bodies", verdict.wrongBody));
        require(verdict.ranThoughNotRun == 0, fmt::format("{} calls ran though said to be not-run", verdict.ranThoughNotRun));
        require(verdict.lateToLeaving == 0, fmt::format("{} runs begun late at leaving servers", verdict.lateToLeaving));
        for (const auto& [service, most] : verdict.overBudget)
            report.reasons.push_back(fmt::format("{} probes of {} in one second", most, service));
        require(report.connectionsRefused == 0, fmt::format("{} connections above a server's limit", report.connectionsRefused));
        auto calls = static_cast<double>(std::max<std::uint64_t>(verdict.calls, 1));
        auto answered = static_cast<double>(verdict.answered) / calls;
        auto unknown = static_cast<double>(verdict.unknown) / calls;
        require(answered >= expectation.leastAnswered, fmt::format("answered {:.4f} of calls, expected {}", answered, expectation.leastAnswered));
        require(unknown <= expectation.mostUnknown, fmt::format("unknown {:.4f} of calls, expected at most {}", unknown, expectation.mostUnknown));
        require(report.goodput >= expectation.leastGoodput, fmt::format("goodput {:.3f} of capacity, expected {}", report.goodput, expectation.leastGoodput));
        require(expectation.mostWorkFactor <= 0 || report.workFactor <= expectation.mostWorkFactor, fmt::format("work factor {:.2f}, expected at most {}", report.workFactor, expectation.mostWorkFactor));
        require(expectation.mostConnectFailures < 0 || report.connectFailures <= static_cast<std::uint64_t>(expectation.mostConnectFailures), fmt::format("{} times a caller was sent to an entry that took no connection", report.connectFailures));
        require(report.configReverts == 0, fmt::format("{} times records went back", report.configReverts));
        require(report.operators.wronglyReported == 0, fmt::format("{} writes of records wrongly reported", report.operators.wronglyReported));
        require(report.forcedStops == 0, fmt::format("{} graceful shutdowns had to be forced", report.forcedStops));
        require(report.lagP99Ms <= plan.mostLagMs, fmt::format("the load fell behind its plan: {:.1f} ms at p99", report.lagP99Ms));
    }

    // The deployment as the plan needs it: calls that call on, or claims where there are none.
    Deployment adapted(Deployment deployment, const Plan& plan)
    {
        auto claims = false;
        for (auto& service : deployment.services) {
            if (plan.depth > 0) {
                service.calls = { { .method = "GET", .path = fmt::format("/deep/{}", plan.depth - 1) } };
                // A server that waits for others is busy with many calls at once; with few slots the chain would wait for itself.
                service.slots *= plan.depth;
            }
            claims = claims || std::any_of(service.calls.begin(), service.calls.end(), [](const auto& call) { return call.claim; });
        }
        for (auto& service : deployment.services) {
            for (auto& call : service.calls)
                call.claim = call.claim || (plan.resendUnknown && !claims && call.never);
        }
        return deployment;
    }

    void fill(RunReport& report, const Deployment& deployment, const Plan& plan, const LoadResult& load, Fleet& fleet)
    {
        auto seconds = static_cast<double>(report.options.seconds);
        CheckOptions checkOptions { .entriesMayDie = plan.expectation.entriesMayDie, .probeBudgets = {} };
        for (const auto& service : deployment.services)
            checkOptions.probeBudgets.push_back({ .service = service.name, .perSecond = service.probeBudget });
        report.verdict = check(load, fleet.ledger(), checkOptions);
        report.entry = latencyOf(load.calls, Route::Entry);
        report.direct = latencyOf(load.calls, Route::Direct);
        report.relay = latencyOf(load.calls, Route::Relay);
        report.lagP99Ms = lagP99(load.calls);
        double capacity = 0;
        for (std::size_t i = 0; i < deployment.services.size(); ++i) {
            report.services.push_back(summarize(i, deployment, load, fleet, seconds));
            capacity += fleet.capacity(i);
        }
        auto inTime = std::count_if(load.calls.begin(), load.calls.end(), [&](const auto& call) { return call.route == Route::Entry && call.outcome == "answered" && call.latency <= std::chrono::milliseconds(plan.deadlineMs); });
        report.goodput = static_cast<double>(inTime) / (capacity * seconds);
        for (const auto& call : load.calls) {
            report.baselineCalls += call.route == Route::Entry ? 0 : 1;
            report.connectFailures += static_cast<std::uint64_t>(call.connectFailures);
        }
        report.storeReadsPerSecond = static_cast<double>(fleet.platform().counts().reads) / seconds;
        report.configInForceMs = fleet.configInForceMs();
        report.forcedStops = fleet.forcedStops();
        report.oracleP99Ms = oracleP99Ms(deployment, plan, load, fleet);
        countServers(fleet, plan.depth, report);
        judge(plan, report);
    }

}

RunReport runScenario(const RunOptions& options)
{
    RunReport report;
    report.options = options;
    const auto* scenario = findScenario(options.scenario);
    const auto* named = findDeployment(options.deployment);
    if (!scenario || !named) {
        report.reasons.push_back(scenario ? "no deployment " + options.deployment : "no scenario " + options.scenario);
        return report;
    }
    auto plan = scenario->plan({ .deployment = *named, .seed = options.seed, .duration = std::chrono::seconds(options.seconds) });
    if (named->failureDomains < plan.failureDomains) {
        report.reasons.push_back(options.scenario + " needs a deployment of several failure domains");
        return report;
    }
    auto deployment = adapted(*named, plan);
    Fleet fleet({ .deployment = deployment, .plan = plan, .records = { .policy = options.policy, .goal = options.goal }, .seed = options.seed });
    fmt::print(stderr, "run: {} on {}, {} entries, {} backend servers, {} faults\n", options.scenario, options.deployment, deployment.entries, fleet.servers().size(), plan.faults.size());
    if (!fleet.start()) {
        report.reasons.emplace_back("an entry could not start");
        return report;
    }
    auto load = loadOptions(options, deployment, plan, fleet);
    std::unique_ptr<Relay> relay;
    if (plan.baselines) {
        relay = std::make_unique<Relay>(load.direct);
        load.relay = relay->address();
    }
    std::unique_ptr<OperatorRace> race;
    if (plan.operators > 0)
        race = std::make_unique<OperatorRace>(Platform::httpPlatform({ .address = fleet.platform().address() }).table, OperatorRaceOptions { .deployment = deployment, .policy = options.policy, .operators = plan.operators });
    RevisionWatch watch(fleet);
    FaultRunner faults(plan.faults, { .begin = [&](const Fault& fault) { fleet.begin(fault); }, .end = [&](const Fault& fault) { fleet.end(fault); } });
    auto result = runLoad(load, [&](Common::TimePoint start) { faults.start(start); });
    faults.stop();
    fmt::print(stderr, "run: {} calls made, checking them\n", result.calls.size());
    report.configReverts = watch.stop();
    if (race)
        report.operators = race->stop();
    fleet.forEachEntry([&](Entry::Daemon& entry) {
        report.ownP99Ms = std::max(report.ownP99Ms, entry.callers().ownTimes.quantiles().p99Ms);
        report.retries += entry.callStats().retries;
        report.hedges += entry.callStats().hedges;
        report.ownCpuP99Ms = std::max(report.ownCpuP99Ms, entry.callers().ownCpuTimes.quantiles().p99Ms);
    });
    fleet.stopEntries();
    fill(report, deployment, plan, result, fleet);
    for (const auto& reason : report.reasons)
        fmt::print(stderr, "run: not ok: {}\n", reason);
    return report;
}

}
