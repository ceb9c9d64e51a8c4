#pragma once

#include "Common/Clock.h"

namespace Decisions {

// Why a request cannot be served now.
enum class RefusalReason {
    NotConfigured, // no configuration has been received yet
    NoServer, // the service has no usable server
    NoReport, // none of the probed servers answered
    Busy, // no probed server has capacity, or the best one would answer after the deadline
    Paused, // every server of the service has asked for a pause
    Limited, // the limits of all servers of the service are used up, or they pause
    Shed, // servers shed the request and no further attempt is allowed
    Blocked, // the request ends the servers that run it
    Outdated, // the configuration is too old to tell whether the API key is valid
    Allowance, // the organisation has used up its allowance
    Memory, // the gateway's memory for requests and responses is used up
    Stopping, // the gateway stops before the request could be answered; others take it at once
};

struct RefusalInputs {
    RefusalReason reason = RefusalReason::Busy;
    double timeLeftMs = 0; // until the caller's deadline
    double excessMs = 0; // by how much the best server's expected response would miss the deadline
    double pauseLeftMs = 0; // with Paused and Limited: until the first server takes requests again; with Allowance: until there is room
    double jitter = 0; // uniform in [0, 1)
};

// Delay for Retry-After. Retries are spread over the time in which capacity is expected to return, and come early enough
// to be answered in time: callers honour delays of at most a third of the time that they have left. While all servers pause,
// it is the time until the first one's pause ends, however long that is.
Common::Duration retryAfter(const RefusalInputs&);

}
