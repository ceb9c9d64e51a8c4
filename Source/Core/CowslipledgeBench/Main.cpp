#include <fstream>

#include <docopt/docopt.h>

#include "Bench/Scenario.h"
#include "Common/Tables.h"

namespace {

constexpr auto usage = R"(cowslipledge-bench: stand-ins, load and experiments for cowslipledge.

Usage:
  cowslipledge-bench run SCENARIO [--deployment D] [--policy P] [--seed N] [--seconds T]
  cowslipledge-bench tables DOCS
  cowslipledge-bench --help

Options:
  --deployment D  lisbon, luzon or small [default: small].
  --policy P      Policy of server choice [default: adaptive].
  --seed N        Seed of arrivals and faults [default: 1].
  --seconds T     Length of the load [default: 5].
)";

// Writes the pages that are made from the code's tables.
int writeTables(const std::string& docs)
{
    std::ofstream(docs + "/RESULT-CODES.md") << Common::resultCodesPage();
    std::ofstream(docs + "/EVENTS.md") << Common::eventsPage();
    return 0;
}

}

int main(int argc, char* argv[])
{
    auto args = docopt::docopt(usage, { argv + 1, argv + argc });
    if (args["tables"].asBool())
        return writeTables(args["DOCS"].asString());
    return Bench::runScenario({
        .scenario = args["SCENARIO"].asString(),
        .deployment = args["--deployment"].asString(),
        .policy = args["--policy"].asString(),
        .seed = static_cast<std::uint64_t>(args["--seed"].asLong()),
        .seconds = static_cast<int>(args["--seconds"].asLong()),
    });
}
