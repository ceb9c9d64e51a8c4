#pragma once

#include <map>
#include <string>
#include <vector>

#include "Bench/Ledger.h"
#include "Bench/LoadGenerator.h"

namespace Bench {

struct ProbeBudget {
    std::string service;
    double perSecond = 0;
};

struct CheckOptions {
    bool entriesMayDie = false; // a call without any answer may then stand as unknown
    std::vector<ProbeBudget> probeBudgets;
    Common::Duration leavingGrace = std::chrono::seconds(3); // from the first sign of leaving to the last new work
};

// The calls of one run held against what backend servers really ran.
struct Verdict {
    std::uint64_t calls = 0; // by the entries; baselines are not counted
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0; // answered but run nowhere, or ended without an outcome
    std::uint64_t doubled = 0; // "never" requests that ran more than once
    std::uint64_t wrongBody = 0; // answered with a body not its own or not whole
    std::uint64_t ranThoughNotRun = 0; // said to be not-run, but ran
    std::uint64_t lateToLeaving = 0; // runs begun at a leaving server after the grace
    std::uint64_t noAnswer = 0; // callers' connections that ended before any answer
    std::map<std::string, int> overBudget; // by service: probes in the worst second, where too many

    // Whether every promise held.
    bool held() const;
};

Verdict check(const LoadResult&, const Ledger&, const CheckOptions&);

// The greatest number of times in any window of one second; the times ascend.
int mostInOneSecond(const std::vector<Common::TimePoint>& times);

}
