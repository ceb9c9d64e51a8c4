#pragma once

#include "Common/Clock.h"
#include "Requests/CallStats.h"
#include "Requests/FilterChain.h"
#include "Requests/ServiceStates.h"

namespace Requests {

// Refuses calls that could not be answered in time, before they cost a backend server anything. Error: Overloaded.
Filter admissionFilter(const Common::Hooks&, ServiceStates&, CallStats&);

}
