#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Common/EventLog.h"
#include "Common/TomlReader.h"

namespace Settings {

// Settings of `cowslipledge gateway`.
struct GatewaySettings {
    std::string node; // name in logs
    std::string failureDomain;
    std::string callers; // ip:port, as the next three
    std::string ready;
    std::string directory;
    std::string control; // for other entries
    std::string metrics; // empty: none
    std::vector<std::string> seeds; // control addresses of some entries; may be stale
    std::string store; // ip:port of the platform's store
    double capacity = 1; // share of a processor
    bool bootstrap = false; // the whole fleet starts for the first time
    int directoryTtlMs = 3000; // how long callers may keep a directory answer
    int graceMs = 6000; // from SIGTERM to SIGKILL
    int applyMs = 2000; // in which a change of configuration or registry has to be in force
    double retryRatio = 0.2; // second sends a request and service, over all entries
    int retrySlack = 75; // beside it in a window, over all entries
    int retryWindowMs = 10000;
    double probesPerServer = 60; // a second, over all entries
    Common::LogFormat logFormat = Common::LogFormat::Json;
    int logLinesPerSecond = 20; // of one event

    bool operator==(const GatewaySettings&) const = default;
};

// Parses settings; every mistake is added to `errors` and then nothing is returned.
std::optional<GatewaySettings> parseGatewaySettings(const std::string& text, const std::string& file, std::vector<Common::FileError>& errors);

}
