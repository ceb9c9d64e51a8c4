#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Decisions/PeerChoice.h"
#include "Gateway/Backend.h"
#include "Gateway/Members.h"

namespace Gateway {

struct PeerGatewaysOptions {
    WireHeaders headers;
    std::string failureDomain; // of this gateway
    Net::ClientOptions client;
};

// The other gateways, as destinations of requests to services whose servers this gateway does not reach. Keeps connections only to a
// few of them, and only while such requests come.
class PeerGateways {
public:
    PeerGateways(Net::EventLoop&, const Members&, PeerGatewaysOptions);

    const Member& self() const { return m_members.self(); }
    // Gateways to probe for a request to the service, with one that has lately reached it if there is any. Empty if no other gateway is
    // known, or if none reaches the service and too many have said so lately.
    std::vector<std::shared_ptr<Backend>> candidates(const std::string& service);
    // Asks a gateway whether it reaches its service, and for its load. One that does not is left out of candidates() for a while.
    void probe(const std::shared_ptr<Backend>&, Common::Duration timeout, const std::function<void(const ProbeAnswer&)>& done);
    // Leaves a gateway out of candidates() for a while.
    void avoid(const Backend&);
    Decisions::PeerSignal signal(const Backend&) const;

    // Called about once a second. Closes connections that are not used any more.
    void closeIdleConnections();

private:
    // A gateway that did not answer, or did not reach the service.
    struct Refusal {
        Common::TimePoint at;
        bool isOfOwnDomain = false;
    };
    // The gateways used for one service.
    struct Pool {
        std::vector<std::shared_ptr<Backend>> chosen;
        std::map<std::string, Refusal> refusals; // the last one of each gateway, by control address
        Common::TimePoint filledAt;
        Common::TimePoint usedAt;
    };

    void fill(Pool&, const std::string& service);
    bool isUsable(const Backend&) const;
    bool isOfOwnDomain(const Backend& peer) const { return peer.record().failureDomain == m_options.failureDomain; }
    bool isAvoided(const Refusal&) const;
    bool isOwnDomainLost(const Pool&) const;
    // Whether it has answered lately that it reaches the service.
    bool isProven(const Backend&) const;
    BackendOptions optionsFor(const std::string& service) const;

    Net::EventLoop& m_loop;
    const Members& m_members;
    PeerGatewaysOptions m_options;
    std::map<std::string, Pool> m_pools; // by service
};

}
