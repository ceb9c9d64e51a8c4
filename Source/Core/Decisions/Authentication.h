#pragma once

#include <optional>

#include "Common/Clock.h"

namespace Decisions {

enum class AuthenticationVerdict {
    Serve,
    Reject, // no organisation holds the key
    Outdated, // the knowledge of the configuration is too old to tell
};

struct AuthenticationInputs {
    bool needsKey = true; // the configuration has organisations, and the route is not public
    bool isKeyKnown = false; // exactly one key was sent, and an organisation of the configuration in force holds it
    // Upper bound on the time since the store confirmed the configuration in force; nullopt: none is known.
    std::optional<Common::Duration> age;
    // Beyond this age no key is accepted, since it may have been revoked; nullopt: keys are accepted at any age.
    std::optional<Common::Duration> maxAge;
    // Within this time changes of the configuration arrive. At a higher age an unknown key may be a new one.
    Common::Duration applyTime = std::chrono::seconds(2);
};

// Decides whether a request may be served, by its API key. It is asked when a request arrives and again whenever the configuration has changed before
// it is sent to a server. Load: configurations that revoke keys while part of the fleet is cut off from the store.
AuthenticationVerdict authenticate(const AuthenticationInputs&);
// Whether the knowledge is recent enough to take requests of gateways whose verdict is Outdated.
bool mayAuthenticateForOthers(const AuthenticationInputs&);

}
