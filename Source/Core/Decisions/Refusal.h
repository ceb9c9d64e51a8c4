#pragma once

#include "Common/Clock.h"

namespace Decisions {

// Why a request cannot be served now.
enum class RefusalReason {
    NotConfigured, // no configuration is known yet
    NoServer, // the service has no server to send to
    NoReport, // none of the servers asked answered
    Busy, // the best server would answer too late
    Shed, // servers turned it away, and no second send is left
};

struct RefusalFacts {
    RefusalReason reason = RefusalReason::Busy;
    double timeLeftMs = 0; // until the caller's deadline
    double excessMs = 0; // by how much the best server would be late
    double jitter = 0; // uniform in [0, 1)
};

// When the caller may usefully ask again. Returns are spread over the time in which room is expected, and the first ones
// come soon enough to be answered in time: callers wait at most a third of the time that they have left.
Common::Duration retryAfter(const RefusalFacts&);

}
