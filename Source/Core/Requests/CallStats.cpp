#include "Requests/CallStats.h"

namespace Requests {

std::vector<NamedCount> namedCounts(const CallStats& stats)
{
    return {
        { "sends_total", stats.sends },
        { "retries_total", stats.retries },
        { "moved_on_total", stats.movedOn },
        { "retries_refused_total", stats.retriesRefused },
        { "hedges_total", stats.hedges },
        { "hedges_won_total", stats.hedgesWon },
        { "overloaded_total", stats.overloaded },
        { "cancelled_total", stats.cancelled },
        { "duplicates_joined_total", stats.duplicatesJoined },
        { "duplicates_replayed_total", stats.duplicatesReplayed },
        { "duplicates_refused_total", stats.duplicatesRefused },
        { "claims_total", stats.claims },
        { "claims_refused_total", stats.claimsRefused },
        { "claims_unsettled_total", stats.claimsUnsettled },
    };
}

}
