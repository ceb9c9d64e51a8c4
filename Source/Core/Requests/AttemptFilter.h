#pragma once

#include "Common/Clock.h"
#include "Common/EventLog.h"
#include "Controllers/BackendServers.h"
#include "Requests/FilterChain.h"

namespace Requests {

struct AttemptOptions {
    Common::Hooks hooks;
    int maxAttempts = 3;
    Common::Duration connectTimeout = std::chrono::milliseconds(250);
};

// Sends the request to backend servers until one answers or no further attempt is allowed. The last filter.
Filter attemptFilter(AttemptOptions, Controllers::BackendServers&, Common::EventLog&);

}
