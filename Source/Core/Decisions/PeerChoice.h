#pragma once

#include <cstddef>
#include <span>

namespace Decisions {

// Load of another gateway, as it reported it a moment ago.
struct PeerSignal {
    int inFlight = 0; // requests that it is serving, those sent to it since included
    double capacity = 1; // its processor share, in processors
    bool sameDomain = false; // in this gateway's failure domain
};

// Index of the gateway to forward a request to: the one with the least load for its processor share, the own failure domain first among
// equals. 0 for an empty span.
std::size_t bestPeer(std::span<const PeerSignal>);

}
