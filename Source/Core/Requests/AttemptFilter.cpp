#include "Requests/AttemptFilter.h"

namespace Requests {

namespace {

    using Common::ResultCode;
    using Decisions::AttemptFault;

    // Sets the call's outcome from its latest attempt. An attempt that may have run is not forgotten when a later one did not.
    void conclude(Call& call, AttemptResult& result, Common::TimePoint now)
    {
        auto outcome = Decisions::attemptOutcome(result.end);
        if (outcome == Common::Outcome::Answered) {
            call.code = ResultCode::Ok;
            call.outcome = outcome;
            call.errorText.clear();
            call.answer = std::move(result.answer);
            return;
        }
        auto ranBefore = call.mayHaveRun;
        call.mayHaveRun = ranBefore || outcome == Common::Outcome::Unknown || result.otherMayHaveRun;
        if (ranBefore && outcome == Common::Outcome::NotRun)
            return;
        auto code = Decisions::attemptCode(result.end);
        if (code == ResultCode::DeadlineExpired && now < call.deadline)
            code = ResultCode::ConnectFailed;
        if (result.end.fault == AttemptFault::Malformed && outcome == Common::Outcome::NotRun)
            code = ResultCode::BadRequest;
        fail(call, code, std::string(Common::resultRow(code).meaning));
    }

    AttemptPlan planFor(const Call& call, const AttemptOptions& options, ServiceState& state, CallStats& stats)
    {
        AttemptPlan plan;
        auto idempotent = call.rule.repeat == Records::Repeat::Safe;
        if (!idempotent)
            plan.freshness = options.freshness;
        if (!idempotent || !call.rule.hedge || call.outerRetries > 0 || call.sends > 0)
            return plan;
        std::lock_guard lock(state.mutex);
        plan.hedgeAfter = state.hedging.delay();
        plan.takeHedge = [&state, &stats, &options] {
            std::lock_guard inner(state.mutex);
            // More requests do not help servers that have too many.
            if (state.admission.overloaded(options.hooks.now(), state.slots) || !state.hedging.take())
                return false;
            ++stats.hedges;
            return true;
        };
        return plan;
    }

    void learn(const AttemptResult& result, ServiceState& state, CallStats& stats)
    {
        stats.sends += static_cast<std::uint64_t>(result.sends);
        stats.hedgesWon += result.hedgeWon ? 1 : 0;
        stats.cancelled += result.end.fault == AttemptFault::Cancelled ? 1 : 0;
        if (Decisions::attemptOutcome(result.end) != Common::Outcome::Answered)
            return;
        std::lock_guard lock(state.mutex);
        state.retry.onSuccess();
        state.hedging.onAnswer(result.ended - result.firstSent);
    }

    bool goesOn(const Call& call, const AttemptResult& result, const AttemptOptions& options, ServiceState& state, CallStats& stats)
    {
        auto now = options.hooks.now();
        auto verdict = Decisions::retryVerdict({
            .end = result.end,
            .idempotent = call.rule.repeat == Records::Repeat::Safe,
            .sent = result.sends > 0,
            .timeLeft = now < call.deadline,
            .attempts = call.attempts,
            .maxAttempts = options.maxAttempts,
            .outerRetries = call.outerRetries,
        });
        if (verdict != Decisions::RetryVerdict::Budgeted) {
            stats.movedOn += verdict == Decisions::RetryVerdict::Free ? 1 : 0;
            return verdict == Decisions::RetryVerdict::Free;
        }
        std::lock_guard lock(state.mutex);
        auto granted = state.retry.take(now);
        ++(granted ? stats.retries : stats.retriesRefused);
        return granted;
    }

}

Filter attemptFilter(AttemptOptions options, RunAttempt run, ServiceStates& states, CallStats& stats)
{
    return [options = std::move(options), run = std::move(run), &states, &stats](Call& call, const Next&) {
        auto state = states.of(call.service);
        {
            std::lock_guard lock(state->mutex);
            state->retry.onCall();
            state->hedging.onCall();
        }
        std::vector<std::string> tried;
        while (true) {
            auto plan = planFor(call, options, *state, stats);
            plan.exclude = tried;
            auto attempt = run(call, plan);
            if (!attempt) {
                if (call.attempts == 0)
                    fail(call, attempt.error().code, attempt.error().text);
                return;
            }
            auto& result = attempt.value();
            call.attempts += static_cast<int>(result.servers.size());
            call.sends += result.sends;
            call.answerRead = result.ended;
            if (call.firstSent == Common::TimePoint())
                call.firstSent = result.firstSent;
            tried.insert(tried.end(), result.servers.begin(), result.servers.end());
            learn(result, *state, stats);
            conclude(call, result, options.hooks.now());
            if (!goesOn(call, result, options, *state, stats))
                return;
        }
    };
}

}
