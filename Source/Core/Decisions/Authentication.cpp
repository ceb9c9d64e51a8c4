#include "Decisions/Authentication.h"

namespace Decisions {

namespace {

    // Of the maximum age, at which a gateway takes requests whose callers others can't authenticate. Nearer to it the gateway will soon be unable to do so
    // itself: in an outage of the store, the last gateways below the limit would get the requests of the whole fleet.
    constexpr double maxAgeShareForOthers = 0.8;

}

AuthenticationVerdict authenticate(const AuthenticationInputs& inputs)
{
    using enum AuthenticationVerdict;
    if (!inputs.needsKey)
        return Serve;
    if (inputs.maxAge && (!inputs.age || *inputs.age > *inputs.maxAge))
        return Outdated;
    if (inputs.isKeyKnown)
        return Serve;
    // Callers don't retry after a rejection, so that it must be certain.
    return inputs.age && *inputs.age <= inputs.applyTime ? Reject : Outdated;
}

bool mayAuthenticateForOthers(const AuthenticationInputs& inputs)
{
    if (!inputs.age)
        return false;
    // Where known keys are accepted at any age, others only need to know whether an unknown one is new.
    if (!inputs.maxAge)
        return *inputs.age <= inputs.applyTime;
    return Common::toMilliseconds(*inputs.age) <= maxAgeShareForOthers * Common::toMilliseconds(*inputs.maxAge);
}

}
