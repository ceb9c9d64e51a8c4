#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Common/EventLog.h"
#include "Common/TomlReader.h"

namespace Settings {

// Settings of `cowslipledge gateway`.
struct GatewaySettings {
    std::string node; // name of this gateway in logs
    std::string failureDomain;
    std::string callers; // ip:port, like `ready`, `directory`, `control` and `metrics`
    std::string ready;
    std::string directory;
    std::string control; // for other gateways
    std::string forwarding; // for requests that other gateways forward, since they reach no server; empty: none are taken or forwarded
    std::string metrics; // empty: no metrics endpoint
    std::string backendSource; // IP address that connections to backend servers come from; empty: the kernel chooses
    std::vector<std::string> seeds; // control addresses of some gateways; may be out of date
    std::string store; // ip:port of the platform's store
    int serverHeartbeatMs = 1500; // interval at which backend servers renew their registry rows
    double capacity = 1; // processor share of this gateway, in processors
    double memoryMb = 512; // limit of this process's memory, in MB of 2^20 bytes; 0: none
    double bufferShare = 0.2; // of it, for requests and responses that pass through
    bool bootstrap = false; // all gateways of the deployment start for the first time
    int directoryTtlMs = 3000; // how long callers may cache a directory response
    int graceMs = 6000; // from SIGTERM to SIGKILL
    int applyMs = 2000; // time limit for a change of the configuration to take effect
    int drainMs = 2000; // time limit for the draining or removal of a server to take effect; by default that of configurations
    double retryRatio = 0.2; // attempts beyond the first per request, for each service and over all gateways
    double retrySlack = 75; // attempts beyond the first per window that are allowed in addition, over all gateways
    int retryWindowMs = 10000; // window over which both limits are counted
    int revokeMs = 0; // after this time a revoked API key must not work any more at any gateway; 0: no such limit
    // The bound on an organisation's requests in any window, over all gateways: (rate x window + burst) x (1 + overage) + slack.
    int allowanceWindowMs = 5000;
    double allowanceOverage = 0.1;
    double allowanceSlack = 20;
    double hedgeShare = 0; // hedged attempts per request, for each service and over all gateways; 0: no hedging beyond the retry budget
    double probesPerServer = 60; // load probes per second to each server, over all gateways
    Common::LogFormat logFormat = Common::LogFormat::Json;
    int logLinesPerSecond = 20; // per kind of event

    bool operator==(const GatewaySettings&) const = default;
};

// Parses settings. Adds each error to `errors`; returns nothing if there was any.
std::optional<GatewaySettings> parseGatewaySettings(const std::string& text, const std::string& file, std::vector<Common::FileError>& errors);

}
