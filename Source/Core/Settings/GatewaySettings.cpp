#include "Settings/GatewaySettings.h"

#include <cmath>

#include <fmt/format.h>

#include "Common/Address.h"
#include "Settings/Names.h"
#include "Settings/ReadAddress.h"

namespace Settings {

namespace {

    using Common::TomlReader;

    constexpr int maxTimeMs = 3'600'000;
    constexpr int maxCount = 1'000'000;
    constexpr double maxMemoryMb = 1024 * 1024;

    // A time limit as NAME_ms or NAME_s. The platform's bounds may have fractions.
    int readMilliseconds(TomlReader& reader, const std::string& name, int lowMs, int fallbackMs)
    {
        constexpr double msPerSecond = 1000;
        auto inSeconds = name + "_s";
        auto inMs = name + "_ms";
        if (!reader.has(inSeconds))
            return static_cast<int>(std::lround(reader.number(inMs, lowMs, maxTimeMs, fallbackMs)));
        if (reader.has(inMs))
            reader.fail(inMs, "found beside " + inSeconds + ", expected one of them");
        reader.number(inMs, lowMs, maxTimeMs, fallbackMs); // known, even if it is an error here
        return static_cast<int>(std::lround(msPerSecond * reader.number(inSeconds, lowMs / msPerSecond, maxTimeMs / msPerSecond)));
    }

    void readGateway(TomlReader& reader, GatewaySettings& settings)
    {
        settings.node = reader.string("node");
        settings.failureDomain = reader.string("failure_domain");
        settings.callers = readAddress(reader, "callers");
        settings.ready = readAddress(reader, "ready");
        settings.directory = readAddress(reader, "directory");
        settings.control = readAddress(reader, "control");
        settings.forwarding = readAddress(reader, "forwarding", std::string());
        settings.metrics = readAddress(reader, "metrics", std::string());
        settings.backendSource = reader.string("backend_source", std::string());
        if (!settings.backendSource.empty() && !Common::isAddress(settings.backendSource + ":1"))
            reader.fail("backend_source", "expected an IP address, found '" + settings.backendSource + "'");
        settings.capacity = reader.number("capacity", 0.001, 1024, settings.capacity);
        settings.memoryMb = reader.number("memory_mb", 0, maxMemoryMb, settings.memoryMb);
        settings.bufferShare = reader.number("buffer_share", 0.01, 0.5, settings.bufferShare);
        settings.bootstrap = reader.boolean("bootstrap", settings.bootstrap);
        settings.directoryTtlMs = static_cast<int>(reader.integer("directory_ttl_ms", 100, maxTimeMs, settings.directoryTtlMs));
        settings.graceMs = readMilliseconds(reader, "grace", 100, settings.graceMs);
        settings.applyMs = readMilliseconds(reader, "apply", 100, settings.applyMs);
        settings.drainMs = readMilliseconds(reader, "drain", 100, settings.applyMs);
        settings.seeds = reader.strings("seeds", std::vector<std::string>());
        for (const auto& seed : settings.seeds) {
            if (!Common::isAddress(seed))
                reader.fail("seeds", "expected addresses as ip:port, found '" + seed + "'");
        }
        reader.finish();
    }

    void readBounds(TomlReader& reader, GatewaySettings& settings)
    {
        settings.retryRatio = reader.number("retry_ratio", 0, 10, settings.retryRatio);
        settings.retrySlack = reader.number("retry_slack", 0, maxCount, settings.retrySlack);
        settings.retryWindowMs = readMilliseconds(reader, "retry_window", 100, settings.retryWindowMs);
        settings.revokeMs = readMilliseconds(reader, "revoke", 0, settings.revokeMs);
        settings.allowanceWindowMs = readMilliseconds(reader, "allowance_window", 100, settings.allowanceWindowMs);
        settings.allowanceOverage = reader.number("allowance_overage", 0, 10, settings.allowanceOverage);
        settings.allowanceSlack = reader.number("allowance_slack", 0, maxCount, settings.allowanceSlack);
        settings.probesPerServer = reader.number("probes_per_server", 0, maxCount, settings.probesPerServer);
        reader.finish();
    }

}

std::optional<GatewaySettings> parseGatewaySettings(const std::string& text, const std::string& file, std::vector<Common::FileError>& errors)
{
    auto table = Common::parseToml(text, file, errors);
    if (!table)
        return std::nullopt;
    auto errorsBefore = errors.size();
    GatewaySettings settings;
    const toml::table none;
    TomlReader root(*table, file, "", errors);

    const auto* gateway = root.table("gateway");
    TomlReader gatewayReader(gateway ? *gateway : none, file, "gateway", errors);
    readGateway(gatewayReader, settings);

    const auto* store = root.table("store");
    TomlReader storeReader(store ? *store : none, file, "store", errors);
    settings.store = readAddress(storeReader, "address");
    settings.serverHeartbeatMs = readMilliseconds(storeReader, "server_heartbeat", 10, settings.serverHeartbeatMs);
    storeReader.finish();

    const auto* bounds = root.table("bounds");
    TomlReader boundsReader(bounds ? *bounds : none, file, "bounds", errors);
    readBounds(boundsReader, settings);

    const auto* hedging = root.table("hedging");
    TomlReader hedgingReader(hedging ? *hedging : none, file, "hedging", errors);
    settings.hedgeShare = hedgingReader.number("extra_share", 0, 1, settings.hedgeShare);
    if (settings.hedgeShare > settings.retryRatio) {
        hedgingReader.fail("extra_share",
            fmt::format("expected at most bounds.retry_ratio ({}), since hedged attempts take from the retry budget, found {}", settings.retryRatio, settings.hedgeShare));
    }
    hedgingReader.finish();

    const auto* log = root.table("log");
    TomlReader logReader(log ? *log : none, file, "log", errors);
    settings.logFormat = logReader.name("format", logFormatNames, std::optional(settings.logFormat));
    settings.logLinesPerSecond = static_cast<int>(logReader.integer("lines_per_second", 0, maxCount, settings.logLinesPerSecond));
    logReader.finish();

    root.finish();
    if (errors.size() != errorsBefore)
        return std::nullopt;
    return settings;
}

}
