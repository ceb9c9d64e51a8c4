#pragma once

#include "Backends/ConnectionPool.h"
#include "Common/Clock.h"
#include "Requests/Attempt.h"
#include "Requests/CallStats.h"
#include "Requests/FilterChain.h"
#include "Requests/ServiceStates.h"

namespace Requests {

struct AttemptOptions {
    Common::Hooks hooks;
    int maxAttempts = 3;
    Common::Duration freshness = Backends::freshConnectionLimit; // of connections for requests that must not repeat
};

// Sends the request to backend servers until one answers or no further attempt is allowed. The last filter.
Filter attemptFilter(AttemptOptions, RunAttempt, ServiceStates&, CallStats&);

}
