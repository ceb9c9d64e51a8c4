#include "Decisions/PeerChoice.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace {

using Decisions::PeerSignal;

struct Row {
    std::string name;
    std::vector<PeerSignal> peers;
    std::size_t expected = 0;
};

const Row rows[] = {
    { "none", {}, 0 },
    { "the less loaded one", { { .inFlight = 9 }, { .inFlight = 3 } }, 1 },
    { "load counts by processor share", { { .inFlight = 9, .capacity = 1 }, { .inFlight = 3, .capacity = 0.1 } }, 0 },
    { "the own failure domain among equals", { { .inFlight = 3 }, { .inFlight = 3, .sameDomain = true } }, 1 },
    { "load goes before the failure domain", { { .inFlight = 2 }, { .inFlight = 3, .sameDomain = true } }, 0 },
    { "a share of zero", { { .inFlight = 0, .capacity = 0 }, { .inFlight = 3, .capacity = 1 } }, 1 },
};

}

TEST_CASE("A request is forwarded to the gateway with the least load for its processor share")
{
    for (const auto& row : rows) {
        CAPTURE(row.name);
        CHECK(Decisions::bestPeer(row.peers) == row.expected);
    }
}
