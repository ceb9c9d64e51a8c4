#pragma once

#include <optional>
#include <string>

#include "Gateway/Configuration.h"
#include "Net/HttpMessage.h"

namespace Gateway {

// What a gateway that forwards a request to another one has decided on it. The other one needs no route of its own, so that a request is
// handled by one configuration.
struct ForwardedRequest {
    Route route; // name, kind, goal, priority and the attempts left
    std::string service;
};

// Header of a forwarded request that carries it.
inline constexpr auto forwardedHeader = "Cowslipledge-Forwarded";
// Header of the answer to a forwarded request: id of the server that gave it.
inline constexpr auto servedByHeader = "Cowslipledge-Served-By";
// Path of the load probe that one gateway sends another, with the service as a query parameter.
inline constexpr auto peerProbePath = "/v1/reach";
inline constexpr auto peerProbeService = "service";
// Value of the header "not executed" by which a gateway says that it reaches no server and has sent the request to none.
inline constexpr auto unreachableReason = "unreachable";

std::string toHeaderValue(const ForwardedRequest&);
// nullopt if the value is malformed.
std::optional<ForwardedRequest> parseForwardedRequest(const std::string&);

}
