#include "Requests/AdmissionFilter.h"

namespace Requests {

namespace {

    Decisions::AdmissionDecision admit(ServiceState& state, Common::TimePoint now, Common::Duration timeLeft)
    {
        constexpr double median = 0.5;
        constexpr std::uint32_t minSamples = 20;
        std::lock_guard lock(state.mutex);
        // The median is only needed where the slots are full.
        auto usual = state.admission.inFlight() < state.slots ? std::nullopt : state.hedging.times().quantile(median, minSamples);
        return state.admission.admit({ .now = now, .timeLeft = timeLeft, .slots = state.slots, .medianAnswerTime = usual.value_or(Common::Duration::zero()) });
    }

}

Filter admissionFilter(const Common::Hooks& hooks, ServiceStates& states, CallStats& stats)
{
    return [hooks, &states, &stats](Call& call, const Next& next) {
        auto state = states.of(call.service);
        auto now = hooks.now();
        states.refreshSlots(call.service, *state, now);
        auto answer = admit(*state, now, call.deadline - now);
        if (!answer.admitted) {
            ++stats.overloaded;
            call.retryAfterMs = static_cast<int>(Common::toMilliseconds(answer.retryAfter));
            return fail(call, Common::ResultCode::Overloaded, "the wait for a backend server of " + call.service + " would outlast the time left");
        }
        next(call);
        std::lock_guard lock(state->mutex);
        state->admission.finish(hooks.now(), call.outcome == Common::Outcome::Answered);
    };
}

}
