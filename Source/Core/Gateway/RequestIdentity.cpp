#include "Gateway/RequestIdentity.h"

#include <Poco/String.h>

#include "Common/Hash.h"

namespace Gateway {

std::uint64_t requestIdentity(const Net::Request& request)
{
    auto host = Poco::toLower(std::string(Net::findHeader(request.headers, "Host").value_or("")));
    std::uint64_t digest = 0;
    // Each part is hashed with the digest of those before it, so that bytes can't move from one to the other.
    // Of a long body only the start is there when the request is served.
    auto body = std::string_view(request.body).substr(0, heldBodyBytes);
    for (std::string_view part : { std::string_view(host), std::string_view(request.target), body })
        digest = Common::hash(part, digest);
    return digest;
}

}
