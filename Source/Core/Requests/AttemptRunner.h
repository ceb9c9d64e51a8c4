#pragma once

#include "Common/EventLog.h"
#include "Controllers/BackendServers.h"
#include "Requests/Attempt.h"

namespace Requests {

struct AttemptRunnerOptions {
    Common::Hooks hooks;
    Common::Duration connectTimeout = std::chrono::milliseconds(250);
    // A second request must not keep the first one's answer waiting.
    Common::Duration hedgeConnectTimeout = std::chrono::milliseconds(20);
};

// Makes attempts over connections to backend servers, on the caller's thread.
RunAttempt socketAttempts(AttemptRunnerOptions, Controllers::BackendServers&, Common::EventLog&);

}
