#include "Soak/GatewayProcess.h"

#include <array>
#include <csignal>
#include <cstring>
#include <fstream>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace Soak {

GatewayProcess::GatewayProcess(GatewayProcessOptions options)
    : m_options(std::move(options))
{
    writeSettings();
}

GatewayProcess::~GatewayProcess()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void GatewayProcess::writeSettings() const
{
    std::ofstream(settingsPath()) << fmt::format(R"([gateway]
node = "{}"
failure_domain = "{}"
callers = "{}"
ready = "{}"
directory = "{}"
control = "{}"
forwarding = "{}"
backend_source = "{}"
seeds = ["{}"]
grace_ms = 3000
directory_ttl_ms = 500

[store]
address = "{}"
{})",
        m_options.name, m_options.failureDomain, callers(), ready(), directory(), control(), forwarding(), m_options.backendSource, fmt::join(m_options.seeds, "\",\""), m_options.store, m_options.bounds.empty() ? "" : "\n[bounds]\n" + m_options.bounds);
}

void GatewayProcess::start()
{
    m_startedAt = std::chrono::steady_clock::now();
    auto settings = settingsPath();
    auto log = m_options.folder + "/" + m_options.name + ".log";
    std::array<std::string, 4> words { m_options.program, "gateway", "--settings", settings };
    std::array<char*, 5> arguments { words[0].data(), words[1].data(), words[2].data(), words[3].data(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t logMode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (auto error = posix_spawn(&m_pid, m_options.program.c_str(), &actions, nullptr, arguments.data(), environ); error != 0) {
        fmt::print(stderr, "soak: {} could not be started: {}\n", m_options.program, std::strerror(error));
        m_pid = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
}

void GatewayProcess::signal(int number)
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

std::optional<int> GatewayProcess::takeExit()
{
    int status = 0;
    if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return std::nullopt;
    m_pid = 0;
    return status;
}

}
