#include "Decisions/PeerChoice.h"

#include <algorithm>
#include <utility>

namespace Decisions {

std::size_t bestPeer(std::span<const PeerSignal> peers)
{
    constexpr double minCapacity = 0.001;
    auto rank = [&](const PeerSignal& it) { return std::pair((it.inFlight + 1) / std::max(it.capacity, minCapacity), !it.sameDomain); };
    auto best = std::min_element(peers.begin(), peers.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    return best == peers.end() ? 0 : static_cast<std::size_t>(best - peers.begin());
}

}
