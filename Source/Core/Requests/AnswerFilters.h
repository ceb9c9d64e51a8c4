#pragma once

#include "Common/EventLog.h"
#include "Requests/CallStats.h"
#include "Requests/FilterChain.h"

namespace Requests {

// Notes how each call ended in the time line and the counters. The first filter.
Filter timelineFilter(Common::EventLog&, CallStats&);

}
