#pragma once

#include <string>

namespace Gateway {

// Names of the HTTP headers that callers, gateways and backend servers exchange. The platform adapter sets them.
struct WireHeaders {
    std::string requestId; // identifies one attempt of a caller; servers echo it
    std::string deadline; // milliseconds left until the caller's deadline
    std::string expectInstance; // id of the only server that may execute the request
    std::string instanceId; // id of the server that responds
    std::string notExecuted; // its presence says that the server did not execute the request
    std::string leaving; // "1": the server is about to leave and must get no new requests
    std::string retryAfter; // on a 503: seconds for which the server wants no requests
    std::string limit; // requests a second that the server takes from all gateways together
    std::string apiKey; // identifies the caller's organisation; never sent to a server
    std::string organisation; // name of the caller's organisation, for the server
    std::string warmupLeft; // on a response of a server: milliseconds for which it stays cold
    std::string load; // load report: running, waiting, slots and, optionally, the work factor in percent
};

}
