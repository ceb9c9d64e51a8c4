#pragma once

#include <string>
#include <vector>

#include "Common/Clock.h"

namespace Bench {

// Asks each entry's directory until it names the revision or a newer one; returns ms since `begun`, or the limit where one never did.
double waitInForce(const std::vector<std::string>& entries, const std::string& service, std::uint64_t revision, Common::TimePoint begun);

}
