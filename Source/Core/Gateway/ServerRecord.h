#pragma once

#include <cstdint>
#include <string>

namespace Gateway {

// Registry entry of a backend server.
struct ServerRecord {
    std::string id;
    std::string service;
    std::string address; // ip:port
    std::string failureDomain;
    int slots = 1; // requests that may execute at once
    bool draining = false;
    int warmupLeftMs = 0; // time for which it stays slow after its start, as of when the entry was written
    std::int64_t startedMs = 0; // Unix time at which this incarnation started; 0: unknown

    bool operator==(const ServerRecord&) const = default;
};

}
