#pragma once

#include <cstdint>
#include <string>

namespace Decisions {

enum class HintKind {
    Live,
    Draining,
    Ejected,
};

// What one entry saw of a backend server, told to the others by gossip. A hint only speaks of what others cannot see yet:
// each entry still decides for itself.
struct ServerHint {
    std::string service;
    std::string server; // ip:port
    HintKind kind = HintKind::Live;
    std::uint64_t incarnation = 0; // a newer one wins; with the same one, Draining wins over Ejected over Live
};

}
