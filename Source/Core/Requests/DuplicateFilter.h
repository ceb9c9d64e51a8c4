#pragma once

#include "Common/Clock.h"
#include "Common/EventLog.h"
#include "Decisions/DuplicateTable.h"
#include "Requests/CallStats.h"
#include "Requests/FilterChain.h"

namespace Requests {

struct DuplicateFilterOptions {
    Common::Hooks hooks;
    Decisions::DuplicateOptions table = {}; // of one shard of 16
};

// For requests with the caller's own id: one that is in flight here is joined, one that was sent of late and must not repeat
// is answered from memory or refused. Errors: DuplicateInFlight; BadHeader where the id belongs to another request.
Filter duplicateFilter(DuplicateFilterOptions, CallStats&, Common::EventLog&);

}
