#pragma once

#include <string>

namespace Decisions {

// A backend server as the instance list or the service's record names it.
struct ServerSpec {
    std::string address; // ip:port
    std::string failureDomain;
    bool leaving = false;

    bool operator==(const ServerSpec&) const = default;
};

// A server's self-reported load, from one of its answers.
struct LoadReport {
    int inFlight = 0;
    int slots = 0; // 0: not reported
    bool draining = false;
};

}
