#pragma once

#include <cstdint>
#include <string>

namespace Gateway {

// A backend server as the registry describes it.
struct ServerRecord {
    std::string id;
    std::string service;
    std::string address; // ip:port
    std::string failureDomain;
    int slots = 1;
    bool draining = false;
    int warmupLeftMs = 0; // how much longer it is slow after its start, when the entry was written
    std::int64_t startedMs = 0; // Unix time of the start of this incarnation; 0: not told

    bool operator==(const ServerRecord&) const = default;
};

}
