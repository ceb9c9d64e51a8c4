#include <doctest/doctest.h>

#include "Decisions/GossipNetwork.h"

using namespace std::chrono_literals;
using Fakes::GossipNetwork;

TEST_CASE("all entries know within two seconds which services an entry cannot serve")
{
    struct AvailabilityCase {
        std::size_t unavailableServices;
        bool ready;
    };
    for (auto [unavailableServices, ready] : { AvailabilityCase { 1, true }, AvailabilityCase { Decisions::maxUnavailableServices + 1, false } }) {
        GossipNetwork network(23, 22);
        network.run(5s);
        std::vector<std::uint32_t> tags;
        for (std::size_t i = 0; i < unavailableServices; ++i)
            tags.push_back(Decisions::serviceTag("service-" + std::to_string(i)));
        network.nodes[3].membership->setAvailability(true, tags);
        network.run(2s);
        for (const auto& node : network.nodes) {
            for (const auto& view : node.membership->live()) {
                auto changed = view.record.peerAddress == GossipNetwork::peer(3);
                CHECK(view.record.ready == (!changed || ready));
                CHECK(view.record.unavailableServices.empty() == (!changed || !ready));
            }
        }
    }
}
