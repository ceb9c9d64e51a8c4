#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

#include <docopt/docopt.h>
#include <fmt/format.h>

#include "Bench/Compare.h"
#include "Bench/GossipBench.h"
#include "Bench/Processes.h"
#include "Bench/Saturation.h"
#include "Bench/ScenarioRun.h"
#include "Bench/SlopeRuns.h"
#include "Common/Tables.h"
#include "Soak/Soak.h"
#include "Traces/PoolReplay.h"

namespace {

constexpr auto usage = R"(cowslipledge-bench: stand-ins, load and experiments for cowslipledge.

Usage:
  cowslipledge-bench run --list
  cowslipledge-bench run SCENARIO [--deployment D] [--policy P] [--goal G] [--seed N] [--seconds T] [--table]
  cowslipledge-bench slopes [--report DIR]
  cowslipledge-bench compare SCENARIO --policies LIST [--deployment D] [--goal G] [--seed N] [--seconds T] [--rounds N] [--out FOLDER]
  cowslipledge-bench compare --from FILE... [--out FOLDER]
  cowslipledge-bench saturation [--seconds T]
  cowslipledge-bench platform
  cowslipledge-bench backend [--servers N] [--slots N] [--service-ms T]
  cowslipledge-bench load SERVICE PATH ENTRY... [--method M] [--rate R] [--seconds T] [--seed N]
  cowslipledge-bench replay FILE...
  cowslipledge-bench gossip [--entries N] [--loss P] [--seconds T]
  cowslipledge-bench soak [--seed N] [--seconds T] [--seeds N] [--gateways N] [--domains N] [--callers N] [--drills] [--cuts]
                          [--odd-answers] [--organisations] [--program FILE] [--old-program FILE]
  cowslipledge-bench tables DOCS
  cowslipledge-bench --help

Options:
  --list          Name the scenarios.
  --deployment D  lisbon, luzon or small [default: small].
  --policy P      Policy of server choice: random, round-robin, least-in-flight, power-of-two, adaptive [default: adaptive].
  --goal G        latency or probe-cost; the deployment's own without it.
  --seed N        Seed of arrivals and faults [default: 1].
  --seconds T     Length of the load [default: 5].
  --report DIR    Folder for CSV files and plots [default: report].
  --policies LIST Policies to run side by side, with commas; ratios are against the first.
  --rounds N      Seeds, each run by every policy in turn [default: 3].
  --from          Compare lines that run printed before, by other builds: each FILE is LABEL=PATH.
  --out FOLDER    Where compare.csv and compare.svg go [default: bench-report].
  --servers N     Backend servers in one process [default: 1].
  --slots N       Requests a backend server works on at once [default: 4].
  --service-ms T  Mean work of a request [default: 20].
  --method M      HTTP method of the calls [default: GET].
  --rate R        Calls a second [default: 100].
  --entries N     Entries that gossip [default: 22].
  --loss P        Share of datagrams lost, 0 to 1 [default: 0].
  --seeds N       Seeds of the soak, from --seed on [default: 1].
  --gateways N    Gateways of the soak, 200 at most [default: 3].
  --domains N     Failure domains of the soak's gateways and servers, 26 at most [default: 2].
  --callers N     Callers of the soak [default: 8].
  --drills        Also restore the store from copies, and let servers leave or ask for pauses.
  --cuts          Also cut gateways off from all servers, while callers, the store and other gateways reach them.
  --odd-answers   Also let servers answer long uploads early with a part of a body and reset the connection, and send odd heads: status 000,
                  099 or 600, field names that are no tokens, a length beside chunked.
  --organisations  Also play organisations with API keys and limits, public routes, evacuations and cold servers. Its faults: revoke-key,
                  add-key, change-limit, surge, evacuate, cold-server, cold-domain, revoke-while-frozen, revoke-in-outage.
  --program FILE  The shipped program; the one beside this one without it.
  --old-program FILE  The program of an older version (Tools/build-commit): gateways are replaced by it and back.
  --table         Print a table of the services before the line of JSON.
)";

// Writes the pages that are made from the code's tables.
int writeTables(const std::string& docs)
{
    std::ofstream(docs + "/RESULT-CODES.md") << Common::resultCodesPage();
    std::ofstream(docs + "/EVENTS.md") << Common::eventsPage();
    return 0;
}

int slopes(const std::string& folder)
{
    auto measured = Bench::measureSlopes({});
    fmt::print("{}", Bench::slopeTable(measured));
    return Bench::writeSlopes(folder, measured) ? 0 : 1;
}

// Runs recorded traces again; prints what differs.
int replay(const std::vector<std::string>& files)
{
    bool ok = true;
    for (const auto& file : files) {
        std::ifstream in(file);
        if (!in)
            fmt::print(stderr, "{}: cannot be read\n", file);
        auto result = Traces::replayPool(in);
        for (const auto& failure : result.failures)
            fmt::print("{}: {}\n", file, failure);
        fmt::print("{}: {} operations, {} failures\n", file, result.operations, result.failures.size());
        ok = ok && result.operations > 0 && result.failures.empty();
    }
    return ok ? 0 : 1;
}

int listScenarios()
{
    for (const auto& scenario : Bench::scenarios())
        fmt::print("{:<20}{}\n", scenario.name, scenario.summary);
    return 0;
}

Bench::RunOptions runOptions(std::map<std::string, docopt::value>& args)
{
    return {
        .scenario = args["SCENARIO"].asString(),
        .deployment = args["--deployment"].asString(),
        .policy = args["--policy"].asString(),
        .goal = args["--goal"] ? args["--goal"].asString() : std::string(),
        .seed = static_cast<std::uint64_t>(args["--seed"].asLong()),
        .seconds = static_cast<int>(args["--seconds"].asLong()),
    };
}

int compare(std::map<std::string, docopt::value>& args)
{
    std::vector<Bench::Sample> samples;
    std::string title = "runs";
    if (args["--from"].asBool()) {
        for (const auto& file : args["FILE"].asStringList()) {
            auto more = Bench::readSamples(file);
            samples.insert(samples.end(), more.begin(), more.end());
        }
    } else {
        std::vector<std::string> policies;
        std::istringstream list(args["--policies"].asString());
        for (std::string policy; std::getline(list, policy, ',');)
            policies.push_back(policy);
        title = args["SCENARIO"].asString() + " on " + args["--deployment"].asString();
        samples = Bench::comparePolicies({ .run = runOptions(args), .policies = policies, .rounds = static_cast<int>(args["--rounds"].asLong()) });
    }
    fmt::print("{}\n{}", title, Bench::compareTable(samples));
    if (Bench::writeComparison(args["--out"].asString(), samples, title))
        return samples.empty() ? 1 : 0;
    fmt::print(stderr, "compare: cannot write into {}\n", args["--out"].asString());
    return 1;
}

int load(std::map<std::string, docopt::value>& args)
{
    return Bench::runLoadProcess({
        .entries = args["ENTRY"].asStringList(),
        .service = args["SERVICE"].asString(),
        .path = args["PATH"].asString(),
        .method = args["--method"].asString(),
        .callsPerSecond = std::stod(args["--rate"].asString()),
        .seconds = static_cast<int>(args["--seconds"].asLong()),
        .seed = static_cast<unsigned long>(args["--seed"].asLong()),
    });
}

int soak(std::map<std::string, docopt::value>& args)
{
    auto own = std::filesystem::read_symlink("/proc/self/exe");
    auto program = args["--program"] ? args["--program"].asString() : (own.parent_path() / "cowslipledge").string();
    auto first = args["--seed"].asLong();
    auto gateways = static_cast<int>(args["--gateways"].asLong());
    auto domains = static_cast<int>(args["--domains"].asLong());
    auto callers = static_cast<int>(args["--callers"].asLong());
    if (gateways < 1 || gateways > Soak::maxGateways || domains < 1 || domains > Soak::maxDomains || callers < 1) {
        fmt::print(stderr, "soak: got {} gateways, {} failure domains, {} callers; expected 1 to {}, 1 to {}, 1 or more\n", gateways, domains, callers, Soak::maxGateways, Soak::maxDomains);
        return 2;
    }
    constexpr int minServers = 4;
    constexpr int minServersOfOrganisations = 8; // some are cold or evacuated
    constexpr int gatewaysPerServer = 3;
    auto servers = std::max(args["--organisations"].asBool() ? minServersOfOrganisations : minServers, gateways / gatewaysPerServer);
    auto good = true;
    for (auto seed = first; seed < first + args["--seeds"].asLong(); ++seed) {
        auto folder = std::filesystem::temp_directory_path() / ("cowslipledge-soak-" + std::to_string(seed) + "-" + std::to_string(::getpid()));
        good = Soak::runSoak({ .seed = static_cast<std::uint64_t>(seed), .seconds = static_cast<int>(args["--seconds"].asLong()), .gateways = gateways, .servers = servers, .domains = domains, .callers = callers, .drills = args["--drills"].asBool(), .cuts = args["--cuts"].asBool(), .oddAnswers = args["--odd-answers"].asBool(), .organisations = args["--organisations"].asBool(), .program = program, .oldProgram = args["--old-program"] ? args["--old-program"].asString() : std::string(), .folder = folder.string() }) && good;
    }
    return good ? 0 : 1;
}

int run(std::map<std::string, docopt::value>& args)
{
    auto report = Bench::runScenario(runOptions(args));
    if (args["--table"].asBool())
        fmt::print("{}", Bench::summaryTable(report));
    fmt::print("{}\n", Bench::reportJson(report));
    return report.ok() ? 0 : 1;
}

}

int main(int argc, char* argv[])
{
    auto args = docopt::docopt(usage, { argv + 1, argv + argc });
    if (args["slopes"].asBool())
        return slopes(args["--report"].asString());
    if (args["replay"].asBool())
        return replay(args["FILE"].asStringList());
    if (args["gossip"].asBool())
        return Bench::runGossipBench({ .entries = static_cast<int>(args["--entries"].asLong()), .seconds = static_cast<int>(args["--seconds"].asLong()), .loss = std::stod(args["--loss"].asString()) });
    if (args["tables"].asBool())
        return writeTables(args["DOCS"].asString());
    if (args["soak"].asBool())
        return soak(args);
    if (args["platform"].asBool())
        return Bench::runPlatformProcess();
    if (args["backend"].asBool())
        return Bench::runBackendProcess({ .servers = static_cast<int>(args["--servers"].asLong()), .slots = static_cast<int>(args["--slots"].asLong()), .serviceMs = std::stod(args["--service-ms"].asString()) });
    if (args["load"].asBool())
        return load(args);
    if (args["compare"].asBool())
        return compare(args);
    if (args["saturation"].asBool())
        return Bench::runSaturation({ .seconds = static_cast<int>(args["--seconds"].asLong()) });
    if (args["--list"].asBool())
        return listScenarios();
    return run(args);
}
