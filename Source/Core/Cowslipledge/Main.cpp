#include <csignal>
#include <stop_token>
#include <system_error>
#include <thread>

#include <docopt/docopt.h>
#include <fmt/format.h>

#include "Common/FreeMemory.h"
#include "Entry/Daemon.h"
#include "Gateway/Daemon.h"
#include "Operator/CheckCommand.h"
#include "Operator/CheckConfigCommand.h"
#include "Operator/ExitCode.h"
#include "Operator/ExplainCommand.h"
#include "Operator/RecordCommandLine.h"
#include "Operator/StatusCommand.h"
#include "Operator/TimelineCommand.h"
#include "Platform/HttpPlatform.h"
#include "Settings/GatewaySettings.h"
#include "platform/Binding.h"
#include "platform/Names.h"
#include "platform/Rows.h"

namespace {

constexpr auto usage = R"(cowslipledge: load balancer for servers whose load shifts in milliseconds.

Usage:
  cowslipledge entry --settings FILE
  cowslipledge gateway [--settings FILE]
  cowslipledge check FILE
  cowslipledge check-config FILE [--in-force FILE] [--settings FILE] [--json]
  cowslipledge record put RECORD... --platform ADDR [--operator NAME] [--json]
  cowslipledge record replace RECORD... --expect REV --platform ADDR [--operator NAME] [--dry-run] [--json]
  cowslipledge record retire SERVICE --expect REV --platform ADDR [--operator NAME] [--json]
  cowslipledge record get SERVICE --platform ADDR [--json]
  cowslipledge record list --platform ADDR [--json]
  cowslipledge record history [SERVICE] --platform ADDR [--json]
  cowslipledge record wait REVISION --platform ADDR [--timeout-ms T] [--json]
  cowslipledge status [--platform ADDR] [--peer ADDR] --key-file FILE [--json]
  cowslipledge timeline [--platform ADDR] [--peer ADDR] --key-file FILE [--since T] [--request ID] [--service S] [--json]
  cowslipledge explain ID
  cowslipledge --help
  cowslipledge --version

Options:
  --settings FILE  TOML settings of the instance; a gateway's default is named by COWSLIPLEDGE_NODE_FILE.
  --in-force FILE  The configuration that gateways have; the differences from it are reported.
  --platform ADDR  The platform's address, ip:port.
  --expect REV     The revision of the record that is to be changed.
  --operator NAME  Who makes the change; the user's name when absent.
  --dry-run        Show the difference and change nothing.
  --timeout-ms T   How long to wait [default: 10000].
  --peer ADDR      The peer address of any entry; it names the others.
  --key-file FILE  The key that the entries share.
  --since T        Events of the last 30s, 10m or 2h, or since milliseconds of the epoch.
  --request ID     Events of the request with this Idempotency-Key.
  --service S      Events of this service.
  --json           Print JSON.
  --help           Show this text.
  --version        Show the version.
)";

// Blocks the signals that request a shutdown, so that only sigwait() and sigtimedwait() receive them.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int entryCommand(const std::string& path)
{
    std::vector<Common::FileError> errors;
    auto text = Common::readFile(path, errors);
    auto settings = text ? Settings::parseEntrySettings(*text, path, errors) : std::nullopt;
    if (!settings) {
        for (const auto& error : errors)
            fmt::print(stderr, "{}\n", Common::describe(error));
        return Operator::toInt(Operator::ExitCode::InvalidFile);
    }
    auto signals = blockSignals();
    auto platform = Platform::httpPlatform({ .address = settings->platformAddress });
    Entry::Daemon daemon(*settings, platform, Common::systemHooks());
    if (!daemon.start())
        return Operator::toInt(Operator::ExitCode::Failed);
    int signal = 0;
    sigwait(&signals, &signal);
    // A second signal forces the shutdown without waiting for callers.
    std::jthread forceStopThread([signals, &daemon](const std::stop_token& ended) {
        constexpr timespec pollInterval { .tv_sec = 0, .tv_nsec = 100'000'000 };
        while (!ended.stop_requested()) {
            if (sigtimedwait(&signals, nullptr, &pollInterval) > 0)
                return daemon.forceStop();
        }
    });
    auto clean = daemon.stop();
    return Operator::toInt(clean ? Operator::ExitCode::Ok : Operator::ExitCode::Failed);
}

std::optional<Settings::GatewaySettings> readGatewaySettings(const std::string& path)
{
    std::vector<Common::FileError> errors;
    auto text = Common::readFile(path, errors);
    auto settings = text ? Settings::parseGatewaySettings(*text, path, errors) : std::nullopt;
    for (const auto& error : errors)
        fmt::print(stderr, "{}\n", Common::describe(error));
    return settings;
}

int gatewayCommand(const std::string& option)
{
    const char* fromEnvironment = std::getenv(PlatformAdapter::Names::settingsVariable);
    auto path = !option.empty() ? option : std::string(fromEnvironment ? fromEnvironment : "");
    auto settings = readGatewaySettings(path);
    if (!settings)
        return Operator::toInt(Operator::ExitCode::InvalidFile);
    // Before the first thread.
    Common::returnLargeBlocks();
    auto signals = blockSignals();
    sigaddset(&signals, SIGHUP);
    // Ends the wait for signals when the daemon has stopped.
    constexpr int wakeSignal = SIGUSR1;
    sigaddset(&signals, wakeSignal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    Gateway::Daemon daemon({
        .settings = *settings,
        .platform = PlatformAdapter::binding(),
        .reload = [path] { return readGatewaySettings(path); },
        .settingsModifiedAt = [path] { return Common::modifiedAt(path); },
    });
    if (!daemon.open())
        return Operator::toInt(Operator::ExitCode::Failed);
    std::jthread signalThread([signals, &daemon](const std::stop_token& ended) {
        std::stop_callback wake(ended, [thread = pthread_self()] { pthread_kill(thread, wakeSignal); });
        while (!ended.stop_requested()) {
            auto signal = sigwaitinfo(&signals, nullptr);
            if (signal == SIGHUP)
                daemon.reloadSettings();
            else if (signal > 0 && signal != wakeSignal)
                daemon.shutDown();
        }
    });
    auto clean = daemon.run();
    return Operator::toInt(clean ? Operator::ExitCode::Ok : Operator::ExitCode::Failed);
}

std::string textOf(const docopt::value& value)
{
    return value.isString() ? value.asString() : std::string();
}

int recordCommand(std::map<std::string, docopt::value>& args)
{
    Operator::RecordArguments arguments {
        .verb = {},
        .files = args["RECORD"].isStringList() ? args["RECORD"].asStringList() : std::vector<std::string> {},
        .service = textOf(args["SERVICE"]),
        .platform = textOf(args["--platform"]),
        .revision = textOf(args["REVISION"]),
        .expect = textOf(args["--expect"]),
        .timeoutMs = textOf(args["--timeout-ms"]),
        .operatorName = textOf(args["--operator"]),
        .dryRun = args["--dry-run"].asBool(),
        .json = args["--json"].asBool(),
    };
    for (const auto* verb : { "put", "replace", "retire", "get", "list", "history", "wait" }) {
        if (args[verb].asBool())
            arguments.verb = verb;
    }
    return Operator::recordCommand(arguments);
}

int checkConfigCommand(std::map<std::string, docopt::value>& args)
{
    return Operator::checkConfigCommand(
        {
            .file = args["FILE"].asString(),
            .inForce = textOf(args["--in-force"]),
            .settings = textOf(args["--settings"]),
            .json = args["--json"].asBool(),
        },
        {
            .read = PlatformAdapter::readConfiguration,
            .names = PlatformAdapter::configurationNames(),
            .seed = Common::systemHooks().random(),
            .out = [](const std::string& text) { fmt::print("{}\n", text); },
        });
}

Operator::PeerFinderOptions peerOptions(std::map<std::string, docopt::value>& args)
{
    return { .platformAddress = textOf(args["--platform"]), .peerAddress = textOf(args["--peer"]), .keyFile = textOf(args["--key-file"]) };
}

}

// SIGHUP, the request to reload the settings, must not terminate a process that is still starting.
void blockReloadSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int runCommand(std::map<std::string, docopt::value> args)
{
    if (args["entry"].asBool())
        return entryCommand(args["--settings"].asString());
    if (args["gateway"].asBool())
        return gatewayCommand(textOf(args["--settings"]));
    if (args["record"].asBool())
        return recordCommand(args);
    if (args["status"].asBool())
        return Operator::statusCommand({ .peers = peerOptions(args), .json = args["--json"].asBool() });
    if (args["timeline"].asBool())
        return Operator::timelineCommand({ .peers = peerOptions(args), .since = textOf(args["--since"]), .request = textOf(args["--request"]), .service = textOf(args["--service"]), .json = args["--json"].asBool() });
    if (args["check-config"].asBool())
        return checkConfigCommand(args);
    if (args["explain"].asBool())
        return Operator::explainCommand(args["ID"].asString());
    return Operator::checkCommand(args["FILE"].asString());
}

int main(int argc, char* argv[])
{
    blockReloadSignal();
    try {
        return runCommand(docopt::docopt_parse(usage, { argv + 1, argv + argc }));
    } catch (const docopt::DocoptExitHelp&) {
        fmt::print("{}", usage);
        return Operator::toInt(Operator::ExitCode::Ok);
    } catch (const docopt::DocoptExitVersion&) {
        fmt::print("cowslipledge 0.1.0\n");
        return Operator::toInt(Operator::ExitCode::Ok);
    } catch (const docopt::DocoptArgumentError& ec) {
        fmt::print(stderr, "{}\n{}", ec.what(), usage);
        return Operator::toInt(Operator::ExitCode::UsageError);
    } catch (const std::system_error& ec) {
        if (ec.code() != std::errc::broken_pipe)
            throw;
        // The reader of the output, such as `head`, has left.
        return Operator::toInt(Operator::ExitCode::Ok);
    }
}
