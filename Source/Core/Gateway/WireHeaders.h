#pragma once

#include <string>

namespace Gateway {

// Names of the headers that callers, entries and backend servers exchange; the adapter fills them.
struct WireHeaders {
    std::string requestId; // of one attempt of a caller; servers echo it
    std::string deadline; // milliseconds left
    std::string expectInstance; // id of the server that may run the request
    std::string instanceId; // id of the server that answers
    std::string notExecuted; // present: the server did not run the request
    std::string load; // running, waiting, slots and, where told, the work factor in percent
};

}
