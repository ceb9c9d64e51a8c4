#include "Settings/EntrySettings.h"

#include "Settings/Names.h"
#include "Settings/ReadAddress.h"

namespace Settings {

namespace {

    using Common::LogFormat;
    using Common::TomlReader;

    constexpr int maxTimeoutMs = 3'600'000;
    constexpr int minSharedKeyLength = 16;

    int readInt(TomlReader& reader, std::string_view key, int low, int high, int fallback)
    {
        return static_cast<int>(reader.integer(key, low, high, fallback));
    }

    void readEntry(TomlReader& reader, EntrySettings& settings)
    {
        settings.address = readAddress(reader, "address");
        settings.peerAddress = readAddress(reader, "peer_address");
        settings.failureDomain = reader.string("failure_domain");
        settings.sharedKey = reader.string("shared_key");
        if (reader.has("shared_key") && settings.sharedKey.size() < minSharedKeyLength)
            reader.fail("shared_key", "expected at least 16 characters");
        settings.defaultDeadlineMs = readInt(reader, "default_deadline_ms", 1, maxTimeoutMs, settings.defaultDeadlineMs);
        settings.directoryTtlMs = readInt(reader, "directory_ttl_ms", 100, maxTimeoutMs, settings.directoryTtlMs);
        settings.shutdownLimitMs = readInt(reader, "shutdown_limit_ms", 100, maxTimeoutMs, settings.shutdownLimitMs);
        reader.finish();
    }

    void readLimits(TomlReader& reader, CallerLimits& limits)
    {
        limits.connections = readInt(reader, "connections", 1, 65536, limits.connections);
        limits.headBytes = readInt(reader, "head_bytes", 256, 1 << 20, limits.headBytes);
        limits.bodyBytes = readInt(reader, "body_bytes", 0, 1 << 30, limits.bodyBytes);
        limits.answerBytes = readInt(reader, "answer_bytes", 0, 1 << 30, limits.answerBytes);
        limits.headTimeoutMs = readInt(reader, "head_timeout_ms", 10, maxTimeoutMs, limits.headTimeoutMs);
        limits.idleTimeoutMs = readInt(reader, "idle_timeout_ms", 10, maxTimeoutMs, limits.idleTimeoutMs);
        reader.finish();
    }

}

std::optional<EntrySettings> parseEntrySettings(const std::string& text, const std::string& file, std::vector<Common::FileError>& errors)
{
    auto table = Common::parseToml(text, file, errors);
    if (!table)
        return std::nullopt;
    auto errorsBefore = errors.size();
    EntrySettings settings;
    const toml::table none;
    TomlReader root(*table, file, "", errors);

    const auto* entry = root.table("entry");
    TomlReader entryReader(entry ? *entry : none, file, "entry", errors);
    readEntry(entryReader, settings);

    const auto* platform = root.table("platform");
    TomlReader platformReader(platform ? *platform : none, file, "platform", errors);
    settings.platformAddress = readAddress(platformReader, "address");
    platformReader.finish();

    const auto* log = root.table("log");
    TomlReader logReader(log ? *log : none, file, "log", errors);
    settings.logFormat = logReader.name("format", logFormatNames, std::optional(LogFormat::Text));
    logReader.finish();

    const auto* limits = root.table("limits");
    TomlReader limitsReader(limits ? *limits : none, file, "limits", errors);
    readLimits(limitsReader, settings.limits);

    root.finish();
    if (errors.size() > errorsBefore)
        return std::nullopt;
    return settings;
}

}
