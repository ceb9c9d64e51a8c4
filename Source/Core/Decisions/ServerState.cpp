#include "Decisions/ServerState.h"

#include <algorithm>

namespace Decisions {

std::optional<OpenRequest> closeRequest(ServerState& server, std::uint64_t number)
{
    auto it = std::lower_bound(server.open.begin(), server.open.end(), number, [](const OpenRequest& request, std::uint64_t n) { return request.number < n; });
    if (it == server.open.end() || it->number != number)
        return std::nullopt;
    auto request = *it;
    server.open.erase(it);
    return request;
}

double openAgeMs(const ServerState& server, Common::TimePoint now)
{
    auto it = std::find_if(server.open.begin(), server.open.end(), [&](const OpenRequest& request) { return request.sentAt >= server.latestAnsweredSentAt; });
    return it == server.open.end() ? 0 : Common::toMilliseconds(now - it->sentAt);
}

}
