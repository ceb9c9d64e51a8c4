#include "Settings/GatewaySettings.h"

#include "Common/Address.h"
#include "Settings/Names.h"
#include "Settings/ReadAddress.h"

namespace Settings {

namespace {

    using Common::TomlReader;

    constexpr int maxTimeMs = 3'600'000;
    constexpr int maxCount = 1'000'000;

    void readGateway(TomlReader& reader, GatewaySettings& settings)
    {
        settings.node = reader.string("node");
        settings.failureDomain = reader.string("failure_domain");
        settings.callers = readAddress(reader, "callers");
        settings.ready = readAddress(reader, "ready");
        settings.directory = readAddress(reader, "directory");
        settings.control = readAddress(reader, "control");
        settings.metrics = readAddress(reader, "metrics", std::string());
        settings.capacity = reader.number("capacity", 0.001, 1024, settings.capacity);
        settings.bootstrap = reader.boolean("bootstrap", settings.bootstrap);
        settings.directoryTtlMs = static_cast<int>(reader.integer("directory_ttl_ms", 100, maxTimeMs, settings.directoryTtlMs));
        settings.graceMs = static_cast<int>(reader.integer("grace_ms", 100, maxTimeMs, settings.graceMs));
        settings.applyMs = static_cast<int>(reader.integer("apply_ms", 100, maxTimeMs, settings.applyMs));
        settings.seeds = reader.strings("seeds", std::vector<std::string>());
        for (const auto& seed : settings.seeds) {
            if (!Common::isAddress(seed))
                reader.fail("seeds", "expected addresses as ip:port, found '" + seed + "'");
        }
        reader.finish();
    }

    void readRetryAndProbeBounds(TomlReader& reader, GatewaySettings& settings)
    {
        settings.retryRatio = reader.number("retry_ratio", 0, 10, settings.retryRatio);
        settings.retrySlack = static_cast<int>(reader.integer("retry_slack", 0, maxCount, settings.retrySlack));
        settings.retryWindowMs = static_cast<int>(reader.integer("retry_window_ms", 100, maxTimeMs, settings.retryWindowMs));
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
    settings.serverHeartbeatMs = static_cast<int>(storeReader.integer("server_heartbeat_ms", 10, maxTimeMs, settings.serverHeartbeatMs));
    storeReader.finish();

    const auto* bounds = root.table("bounds");
    TomlReader boundsReader(bounds ? *bounds : none, file, "bounds", errors);
    readRetryAndProbeBounds(boundsReader, settings);

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
