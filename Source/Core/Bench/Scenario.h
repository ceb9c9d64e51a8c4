#pragma once

#include <cstdint>
#include <string>

namespace Bench {

struct RunOptions {
    std::string scenario = "steady";
    std::string deployment = "small";
    std::string policy = "adaptive";
    std::uint64_t seed = 1;
    int seconds = 5;
};

// Runs a scenario, prints progress to standard error and one JSON object as the last line of standard output.
// Returns the exit code: 0 only if every promise held.
int runScenario(const RunOptions&);

}
