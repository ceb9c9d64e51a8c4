#include "Bench/Scenario.h"

#include <memory>

#include <fmt/format.h>
#include <json/json.h>

#include "Bench/BackendStandIn.h"
#include "Bench/LoadGenerator.h"
#include "Bench/PlatformStandIn.h"
#include "Bench/RecordTable.h"
#include "Entry/Daemon.h"
#include "Platform/HttpPlatform.h"

namespace Bench {

namespace {

    constexpr auto recordText = R"(schema = 1
service = "puzzle"
pool = "puzzle"
)";

    Settings::EntrySettings entrySettings(const std::string& platformAddress)
    {
        return {
            .address = "127.0.0.1:0",
            .peerAddress = "127.0.0.1:0",
            .failureDomain = "a",
            .platformAddress = platformAddress,
            .sharedKey = "bench-shared-key",
            .logFormat = Common::LogFormat::Off,
            .limits = {},
        };
    }

    // Calls whose outcome the ledger contradicts.
    int brokenPromises(const std::vector<CallRecord>& calls, const Ledger& ledger)
    {
        int broken = 0;
        for (const auto& call : calls) {
            auto runs = ledger.runs(call.id);
            auto answeredWell = call.outcome == "answered" && runs >= 1 && call.ownBody;
            auto refusedWell = call.outcome == "not-run" && runs == 0;
            if (!answeredWell && !refusedWell && call.outcome != "unknown")
                ++broken;
        }
        return broken;
    }

}

int runScenario(const RunOptions& options)
{
    Ledger ledger;
    PlatformStandIn platform;
    std::vector<std::unique_ptr<BackendStandIn>> servers;
    std::vector<Platform::Instance> instances;
    constexpr int serverCount = 6;
    for (int i = 0; i < serverCount; ++i) {
        servers.push_back(std::make_unique<BackendStandIn>(BackendOptions {}, ledger));
        instances.push_back({ .address = servers.back()->address(), .pool = "puzzle", .failureDomain = "a", .peerAddress = {} });
    }
    platform.setInstances(instances);
    platform.commit(seedTransaction(0, { { .service = "puzzle", .forms = { recordText } } }));
    Entry::Daemon entry(entrySettings(platform.address()), Platform::httpPlatform({ .address = platform.address() }), Common::systemHooks());
    if (!entry.start())
        return 1;
    auto calls = runLoad({ .targets = { entry.address() }, .path = "/services/puzzle/clue", .callsPerSecond = 3000, .duration = std::chrono::seconds(options.seconds), .seed = options.seed });
    entry.stop();
    auto broken = brokenPromises(calls, ledger);
    Json::Value json;
    json["scenario"] = options.scenario;
    json["calls"] = Json::UInt64(calls.size());
    json["broken"] = broken;
    json["p50_ms"] = latencyQuantileMs(calls, 0.5);
    json["p99_ms"] = latencyQuantileMs(calls, 0.99);
    json["own_p99_ms"] = entry.callers().ownTimes.quantiles().p99Ms;
    json["ok"] = broken == 0;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    fmt::print("{}\n", Json::writeString(builder, json));
    return broken == 0 ? 0 : 1;
}

}
