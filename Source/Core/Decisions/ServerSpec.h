#pragma once

#include <string>

namespace Decisions {

// A backend server as membership knows it.
struct ServerSpec {
    std::string address; // ip:port
    std::string failureDomain;
    bool leaving = false;

    bool operator==(const ServerSpec&) const = default;
};

// What a server's answer said of its own load.
struct LoadReport {
    int inFlight = 0;
    int slots = 0; // 0: not stated
    bool draining = false;
};

}
