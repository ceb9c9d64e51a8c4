#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Soak {

struct GatewayProcessOptions {
    std::string program; // path of the shipped binary
    std::string folder; // for settings and logs
    std::string name;
    std::string store; // ip:port
    std::string failureDomain;
    int port = 0; // the first of five: callers, ready, directory, control, forwarding
    std::string backendSource; // IP address that its connections to servers come from
    std::vector<std::string> seeds;
    std::string bounds; // lines of the settings' table of this name; empty: none
};

// A gateway as a process of its own. Only ever signals the process that it started itself.
class GatewayProcess {
public:
    explicit GatewayProcess(GatewayProcessOptions);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    void start();
    // From the next start on.
    void setProgram(const std::string& program) { m_options.program = program; }
    // Sends a signal; nothing where the process has ended.
    void signal(int number);
    // The exit status of a process that has ended since the last call.
    std::optional<int> takeExit();
    // Time since start().
    std::chrono::steady_clock::duration age() const { return std::chrono::steady_clock::now() - m_startedAt; }
    const GatewayProcessOptions& options() const { return m_options; }
    std::string callers() const { return addressOf(0); }
    std::string ready() const { return addressOf(1); }
    std::string directory() const { return addressOf(2); }
    std::string control() const { return addressOf(3); }
    std::string forwarding() const { return addressOf(4); }

private:
    std::string addressOf(int offset) const { return "127.0.0.1:" + std::to_string(m_options.port + offset); }
    std::string settingsPath() const { return m_options.folder + "/" + m_options.name + ".toml"; }
    void writeSettings() const;

    GatewayProcessOptions m_options;
    pid_t m_pid = 0;
    std::chrono::steady_clock::time_point m_startedAt;
};

}
