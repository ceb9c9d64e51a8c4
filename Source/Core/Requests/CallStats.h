#pragma once

#include <atomic>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Requests {

// Counters of one entry since its start, over all services.
struct CallStats {
    using Counter = std::atomic<std::uint64_t>;

    Counter calls { 0 };
    Counter answered { 0 };
    Counter notRun { 0 };
    Counter unknown { 0 };
    Counter sends { 0 }; // requests of which a byte went to a backend server
    Counter retries { 0 }; // requests sent again after one that was sent
    Counter movedOn { 0 }; // another server tried after one that was sent nothing
    Counter retriesRefused { 0 }; // by the budget
    Counter hedges { 0 };
    Counter hedgesWon { 0 };
    Counter overloaded { 0 }; // refused by admission
    Counter cancelled { 0 }; // the caller left before the answer
    Counter duplicatesJoined { 0 };
    Counter duplicatesReplayed { 0 };
    Counter duplicatesRefused { 0 };
    Counter claims { 0 };
    Counter claimsRefused { 0 };
    Counter claimsUnsettled { 0 };
};

struct NamedCount {
    std::string_view name; // as on the page of metrics
    std::uint64_t count = 0;
};

// The counters for the page of metrics, but for those of outcomes.
std::vector<NamedCount> namedCounts(const CallStats&);

}
