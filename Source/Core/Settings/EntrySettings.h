#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "Common/EventLog.h"
#include "Common/TomlReader.h"

namespace Settings {

// Bounds on what callers may make an entry hold.
struct CallerLimits {
    int connections = 2048; // one thread each
    int headBytes = 16 * 1024;
    int bodyBytes = 1024 * 1024;
    int answerBytes = 8 * 1024 * 1024;
    int headTimeoutMs = 5000; // from the first byte to the whole request
    int idleTimeoutMs = 60000; // a kept connection without a request
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
    int defaultDeadlineMs = 10000; // for calls that state none
    int directoryTtlMs = 5000; // how long callers may keep a directory answer
    int shutdownLimitMs = 30000; // after it, graceful shutdown gives up
};

// Parses settings; every mistake is added to `errors` and then nothing is returned.
std::optional<EntrySettings> parseEntrySettings(const std::string& text, const std::string& file, std::vector<Common::FileError>& errors);

}
