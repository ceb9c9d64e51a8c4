#pragma once

#include <string>
#include <vector>

#include "Bench/ScenarioRun.h"

namespace Bench {

// One run's figures for a comparison.
struct Sample {
    std::string label; // policy or build
    std::uint64_t seed = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    double probeCostShare = 0;
    double lagP99Ms = 0;
    bool ok = false;
};

struct CompareOptions {
    RunOptions run; // policy is set by the comparison
    std::vector<std::string> policies;
    int rounds = 3; // seeds, each run once by every policy, in turn
};

// Runs policies side by side, interleaved.
std::vector<Sample> comparePolicies(const CompareOptions&);

// Reads lines of JSON that `run` printed; `file` is LABEL=PATH. Lines that are none are passed over.
std::vector<Sample> readSamples(const std::string& file);

// Medians by label and, against the first label, the ratio of p99 with its spread over the seeds.
std::string compareTable(const std::vector<Sample>&);
std::string compareCsv(const std::vector<Sample>&);
// p99 of every run, a column a label, on a logarithmic axis.
std::string compareSvg(const std::vector<Sample>&, const std::string& title);

// Writes both files; false when the folder cannot be written.
bool writeComparison(const std::string& folder, const std::vector<Sample>&, const std::string& title);

}
