#include "Bench/Verdict.h"

#include <algorithm>

namespace Bench {

namespace {

    void checkAnswered(const CallRecord& call, std::size_t runs, Verdict& verdict)
    {
        ++verdict.answered;
        if (runs == 0)
            ++verdict.lost;
        if (!call.ownBody)
            ++verdict.wrongBody;
    }

    void checkCall(const CallRecord& call, bool never, const Ledger& ledger, const CheckOptions& options, Verdict& verdict)
    {
        auto runs = ledger.runs(call.id).size();
        ++verdict.calls;
        if (never && runs > 1)
            ++verdict.doubled;
        if (call.end != ClientEnd::Answered)
            ++verdict.noAnswer;
        if (call.outcome == "answered")
            return checkAnswered(call, runs, verdict);
        // A resend may be refused as not run after the first sending ran: only a call sent once is held to it.
        if (call.outcome == "not-run" && !call.resent) {
            ++verdict.notRun;
            verdict.ranThoughNotRun += runs > 0 ? 1 : 0;
            return;
        }
        ++verdict.unknown;
        auto endedWithoutAny = call.outcome.empty() && call.end != ClientEnd::NotConnected;
        if (endedWithoutAny && !options.entriesMayDie)
            ++verdict.lost;
        if (call.end == ClientEnd::NotConnected && runs > 0)
            ++verdict.ranThoughNotRun;
    }

    void checkProbes(const Ledger& ledger, const CheckOptions& options, Verdict& verdict)
    {
        for (const auto& budget : options.probeBudgets) {
            // A window may hold one second's rate and one burst of the same size.
            auto most = mostInOneSecond(ledger.probes(budget.service));
            if (most > 2 * budget.perSecond)
                verdict.overBudget[budget.service] = most;
        }
    }

}

bool Verdict::held() const
{
    return lost == 0 && doubled == 0 && wrongBody == 0 && ranThoughNotRun == 0 && lateToLeaving == 0 && overBudget.empty();
}

Verdict check(const LoadResult& load, const Ledger& ledger, const CheckOptions& options)
{
    Verdict verdict;
    for (const auto& call : load.calls) {
        if (call.route != Route::Entry)
            continue;
        const auto& service = load.services[static_cast<std::size_t>(call.service)];
        checkCall(call, service.calls[static_cast<std::size_t>(call.kind)].never, ledger, options, verdict);
    }
    auto leaving = ledger.leaving();
    for (const auto& run : ledger.allRuns()) {
        auto it = leaving.find(run.server);
        if (it != leaving.end() && run.at > it->second + options.leavingGrace)
            ++verdict.lateToLeaving;
    }
    checkProbes(ledger, options, verdict);
    return verdict;
}

int mostInOneSecond(const std::vector<Common::TimePoint>& times)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
        while (times[i] - times[first] >= std::chrono::seconds(1))
            ++first;
        most = std::max(most, i - first + 1);
    }
    return static_cast<int>(most);
}

}
