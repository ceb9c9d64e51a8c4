#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "Common/EventLog.h"
#include "Common/TomlReader.h"

namespace Settings {

// Limits on the resources that callers may use in an entry.
struct CallerLimits {
    int connections = 2048; // each takes a thread
    int headBytes = 16 * 1024; // request line and headers
    int bodyBytes = 1024 * 1024;
    int answerBytes = 8 * 1024 * 1024;
    int headTimeoutMs = 5000; // from the first byte of a request until it is complete
    int idleTimeoutMs = 60000; // keep-alive connection without a request
};

// Settings of `cowslipledge entry`.
struct EntrySettings {
    std::string address; // ip:port for callers; port 0 lets the kernel choose
    std::string peerAddress; // ip:port for other entries and operators (TCP and UDP)
    std::string failureDomain;
    std::string platformAddress; // ip:port
    std::string sharedKey; // signs messages between entries
    Common::LogFormat logFormat = Common::LogFormat::Text;
    CallerLimits limits;
    int defaultDeadlineMs = 10000; // for requests that state no deadline
    int directoryTtlMs = 5000; // how long callers may cache a directory response
    int shutdownLimitMs = 30000; // longest duration of a graceful shutdown; then it is forced
};

// Parses settings. Adds each error to `errors`; returns nothing if there was any.
std::optional<EntrySettings> parseEntrySettings(const std::string& text, const std::string& file, std::vector<Common::FileError>& errors);

}
