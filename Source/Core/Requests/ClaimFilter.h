#pragma once

#include "Common/Clock.h"
#include "Common/EventLog.h"
#include "Platform/Platform.h"
#include "Requests/CallStats.h"
#include "Requests/FilterChain.h"

namespace Requests {

struct ClaimOptions {
    Common::Hooks hooks;
    Common::Duration acquireLimit = std::chrono::seconds(1); // to get or lose the claim
    Common::Duration settleLimit = std::chrono::milliseconds(300); // to take back what may stand; ends before the deadline
    Common::Duration releaseGrace = std::chrono::milliseconds(50); // for a release that begins at the deadline
    Common::Duration pause = std::chrono::milliseconds(10); // after the store failed
    std::function<void(Common::Duration)> sleep; // empty: the thread sleeps
};

// For rules with claim = "table": takes the row claims/<service>/<id> before the request goes on, and hands it back when the
// request provably did not run. Errors: DuplicateClaimed, StoreUnavailable, ClaimUnsettled, BadHeader without an id.
Filter claimFilter(ClaimOptions, Platform::Table, CallStats&, Common::EventLog&);

}
