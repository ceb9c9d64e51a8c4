#pragma once

#include <optional>
#include <vector>

#include "Backends/BackendSession.h"
#include "Decisions/ServerPool.h"

namespace Requests {

// The load that an answer or a probe reports ("in_flight=3;slots=4"); nothing when absent or malformed.
std::optional<Decisions::LoadReport> loadReport(const std::vector<Backends::Header>&);

}
