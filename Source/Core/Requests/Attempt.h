#pragma once

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Backends/BackendSession.h"
#include "Common/Result.h"
#include "Decisions/ServerPool.h"
#include "Requests/Call.h"

namespace Requests {

// How one attempt is to be made.
struct AttemptPlan {
    std::span<const std::string> exclude = {}; // servers not to use
    Common::Duration freshness = Common::Duration::max(); // a kept connection must have been heard from within it
    std::optional<Common::Duration> hedgeAfter = {}; // wait before a second request is sent; nothing: never
    std::function<bool()> takeHedge = [] { return false; }; // asked when the wait is over
};

// How one attempt went; a hedged one made two requests and ended as the better of them.
struct AttemptResult {
    Decisions::AttemptEnd end;
    Backends::BackendAnswer answer; // whole, where the stage is Answered
    std::vector<std::string> servers; // in the order used
    int sends = 0; // requests of which a byte left
    bool otherMayHaveRun = false; // the hedged request that lost
    bool hedgeWon = false;
    Common::TimePoint firstSent;
    Common::TimePoint ended;
};

// Makes one attempt. Errors: UnknownService, NoServer.
using RunAttempt = std::function<Common::Result<AttemptResult>(const Call&, const AttemptPlan&)>;

}
