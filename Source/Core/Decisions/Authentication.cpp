#include "Decisions/Authentication.h"

namespace Decisions {

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

}
