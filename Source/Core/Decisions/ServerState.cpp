#include "Decisions/ServerState.h"

#include <algorithm>

namespace Decisions {

std::optional<OpenRequest> removeOpenRequest(ServerState& server, std::uint64_t number)
{
    auto it = std::lower_bound(server.openRequests.begin(), server.openRequests.end(), number,
        [](const OpenRequest& request, std::uint64_t n) { return request.number < n; });
    if (it == server.openRequests.end() || it->number != number)
        return std::nullopt;
    auto request = *it;
    server.openRequests.erase(it);
    return request;
}

double oldestOpenRequestAgeMs(const ServerState& server, Common::TimePoint now)
{
    auto it = std::find_if(server.openRequests.begin(), server.openRequests.end(),
        [&](const OpenRequest& request) { return request.sentAt >= server.latestAnsweredSentAt; });
    return it == server.openRequests.end() ? 0 : Common::toMilliseconds(now - it->sentAt);
}

}
