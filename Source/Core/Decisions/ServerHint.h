#pragma once

#include <cstdint>
#include <string>

namespace Decisions {

enum class HintKind {
    Live,
    Draining,
    Ejected,
};

// A state change of a backend server that one entry observed and sends to the others by gossip. Hints cover only changes
// that the others may not have observed yet; each entry still decides for itself.
struct ServerHint {
    std::string service;
    std::string server; // ip:port
    HintKind kind = HintKind::Live;
    std::uint64_t incarnation = 0; // the higher wins; at equal incarnations Draining overrides Ejected, and Ejected overrides Live
};

}
