#include <doctest/doctest.h>

#include "Decisions/GossipNetwork.h"

using namespace std::chrono_literals;
using Fakes::GossipNetwork;

TEST_CASE("what an entry offers is known everywhere within two seconds")
{
    struct OfferCase {
        std::size_t unoffered;
        bool ready;
    };
    for (auto [unoffered, ready] : { OfferCase { 1, true }, OfferCase { Decisions::maxUnoffered + 1, false } }) {
        GossipNetwork network(23, 22);
        network.run(5s);
        std::vector<std::uint32_t> tags;
        for (std::size_t i = 0; i < unoffered; ++i)
            tags.push_back(Decisions::serviceTag("service-" + std::to_string(i)));
        network.nodes[3].membership->setOffer(true, tags);
        network.run(2s);
        for (const auto& node : network.nodes) {
            for (const auto& view : node.membership->live()) {
                auto changed = view.record.peerAddress == GossipNetwork::peer(3);
                CHECK(view.record.ready == (!changed || ready));
                CHECK(view.record.unoffered.empty() == (!changed || !ready));
            }
        }
    }
}
