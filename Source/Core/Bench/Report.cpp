#include <cmath>

#include <fmt/format.h>
#include <json/json.h>

#include "Bench/ScenarioRun.h"

namespace Bench {

namespace {

    // Three decimals; null where nothing was measured.
    Json::Value number(double value, bool measured = true)
    {
        constexpr double thousand = 1000;
        return measured ? Json::Value(std::round(value * thousand) / thousand) : Json::Value();
    }

    void addVerdict(const Verdict& verdict, Json::Value& json)
    {
        json["calls"] = Json::UInt64(verdict.calls);
        json["answered"] = Json::UInt64(verdict.answered);
        json["not_run"] = Json::UInt64(verdict.notRun);
        json["unknown"] = Json::UInt64(verdict.unknown);
        json["lost"] = Json::UInt64(verdict.lost);
        json["doubled"] = Json::UInt64(verdict.doubled);
        json["wrong_body"] = Json::UInt64(verdict.wrongBody);
        json["late_to_leaving"] = Json::UInt64(verdict.lateToLeaving);
        json["ran_though_not_run"] = Json::UInt64(verdict.ranThoughNotRun);
        json["no_answer"] = Json::UInt64(verdict.noAnswer);
    }

    void addLatency(const RunReport& report, Json::Value& json)
    {
        auto hasDirect = report.direct.calls > 0;
        auto hasRelay = hasDirect && report.relay.calls > 0;
        json["p50_ms"] = number(report.entry.p50);
        json["p99_ms"] = number(report.entry.p99);
        json["p999_ms"] = number(report.entry.p999);
        json["direct_p50_ms"] = number(report.direct.p50, hasDirect);
        json["direct_p99_ms"] = number(report.direct.p99, hasDirect);
        json["added_p50_ms"] = number(report.entry.p50 - report.direct.p50, hasDirect);
        json["added_p99_ms"] = number(report.entry.p99 - report.direct.p99, hasDirect);
        json["own_p99_ms"] = number(report.ownP99Ms);
        json["own_cpu_p99_ms"] = number(report.ownCpuP99Ms, report.ownCpuP99Ms > 0);
        json["relay_added_p50_ms"] = number(report.relay.p50 - report.direct.p50, hasRelay);
        json["relay_added_p99_ms"] = number(report.relay.p99 - report.direct.p99, hasRelay);
        json["lag_p99_ms"] = number(report.lagP99Ms);
        json["oracle_p99_ms"] = number(report.oracleP99Ms, report.oracleP99Ms > 0);
    }

    void addProbes(const RunReport& report, Json::Value& json)
    {
        double probes = 0;
        double budget = 0;
        double cost = 0;
        for (const auto& service : report.services) {
            probes += service.probesPerSecond;
            budget += service.probeBudget;
            cost = std::max(cost, service.probeCostShare);
        }
        json["probes_per_s"] = number(probes);
        json["probe_budget_per_s"] = number(budget);
        constexpr double millionth = 1e-6;
        json["probe_cost_share"] = std::round(cost / millionth) * millionth;
    }

}

std::string reportJson(const RunReport& report)
{
    Json::Value json;
    json["scenario"] = report.options.scenario;
    json["deployment"] = report.options.deployment;
    json["policy"] = report.options.policy;
    json["goal"] = report.options.goal;
    json["seed"] = Json::UInt64(report.options.seed);
    addVerdict(report.verdict, json);
    addLatency(report, json);
    addProbes(report, json);
    auto calls = static_cast<double>(std::max<std::uint64_t>(report.verdict.calls, 1));
    json["retries_share"] = number(static_cast<double>(report.retries) / calls);
    json["hedges_share"] = number(static_cast<double>(report.hedges) / calls);
    json["work_factor"] = number(report.workFactor);
    json["goodput"] = number(report.goodput);
    json["config_in_force_ms"] = number(report.configInForceMs, report.configInForceMs > 0);
    json["config_reverts"] = report.configReverts;
    json["record_writes"] = report.operators.writes;
    json["record_writes_wrong"] = report.operators.wronglyReported;
    json["forced_stops"] = report.forcedStops;
    json["store_reads_per_s"] = number(report.storeReadsPerSecond);
    json["most_connections"] = report.mostConnections;
    json["connect_failures"] = Json::UInt64(report.connectFailures);
    json["ok"] = report.ok();
    json["reasons"] = Json::arrayValue;
    for (const auto& reason : report.reasons)
        json["reasons"].append(reason);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["precision"] = 6;
    builder["precisionType"] = "decimal";
    return Json::writeString(builder, json);
}

std::string summaryTable(const RunReport& report)
{
    auto text = fmt::format("{:<10}{:>9}{:>10}{:>9}{:>9}{:>10}{:>10}{:>11}{:>10}{:>9}\n",
        "service", "calls", "answered", "not-run", "unknown", "p50 ms", "p99 ms", "p99.9 ms", "probes/s", "budget");
    for (const auto& service : report.services) {
        text += fmt::format("{:<10}{:>9}{:>10}{:>9}{:>9}{:>10.1f}{:>10.1f}{:>11.1f}{:>10.1f}{:>9.1f}\n",
            service.name, service.calls, service.answered, service.notRun, service.unknown,
            service.latency.p50, service.latency.p99, service.latency.p999, service.probesPerSecond, service.probeBudget);
    }
    const auto& verdict = report.verdict;
    text += fmt::format("lost {}, doubled {}, wrong bodies {}, run though said not to {}, late to leaving servers {}\n",
        verdict.lost, verdict.doubled, verdict.wrongBody, verdict.ranThoughNotRun, verdict.lateToLeaving);
    return text + (report.ok() ? "every promise held\n" : "a promise or an expectation did not hold: " + report.reasons.front() + "\n");
}

}
