#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Gateway/Configuration.h"
#include "Net/HttpMessage.h"

namespace Gateway {

// What a gateway that forwards a request to another one has decided on it. The other one needs no route of its own, so that a request is
// handled by one configuration.
struct ForwardedRequest {
    Route route; // name, kind, goal, priority and the attempts left
    std::string service;
};

// What a gateway says of a request whose caller it can't authenticate, since its configuration is too old. The other one serves the request
// as that of a caller of its own: it authenticates the caller by the API key and decides by its own configuration.
struct UnauthenticatedRequest {
    std::uint64_t configurationVersion = 0; // of the gateway that forwards it; one with an older configuration must not serve the request
};

// Header of a forwarded request that carries one of the two.
inline constexpr auto forwardedHeader = "Cowslipledge-Forwarded";
// Header of the answer to a forwarded request: id of the server that gave it.
inline constexpr auto servedByHeader = "Cowslipledge-Served-By";
// Path of the load probe that one gateway sends another, with the service as a query parameter.
inline constexpr auto peerProbePath = "/v1/reach";
inline constexpr auto peerProbeService = "service";
// Path of the load probe that asks another gateway in addition whether it can authenticate callers. Gateways of versions that can't do so
// for others answer it with 404.
inline constexpr auto authenticationProbePath = "/v1/authenticate";
// Value of the header "not executed" by which a gateway says that it reaches no server and has sent the request to none.
inline constexpr auto unreachableReason = "unreachable";

// Values of the header "not executed" by which a gateway says that it has not authenticated the caller, and has sent the request to no server:
// its configuration is too old for any key, or older than that of the gateway that has forwarded the request;
inline constexpr auto outdatedReason = "outdated";
// or it does not know the key, which may be newer than its configuration.
inline constexpr auto undecidedReason = "undecided";

std::string toHeaderValue(const ForwardedRequest&);
// nullopt if the value is malformed, or that of an unauthenticated request.
std::optional<ForwardedRequest> parseForwardedRequest(const std::string&);

// A value that parseForwardedRequest() takes for malformed, also that of earlier versions: they answer such a request as not executed.
std::string toHeaderValue(const UnauthenticatedRequest&);
// nullopt if the value is malformed, or that of another forwarded request.
std::optional<UnauthenticatedRequest> parseUnauthenticatedRequest(std::string_view);

}
