#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
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

// What another gateway is needed for.
enum class PeerNeed {
    Servers, // it reaches the servers of the service
    Authentication, // the same where it knows the service, and it can authenticate callers
};

// The other gateways, as destinations of requests to services whose servers this gateway does not reach, and of requests whose callers it
// can't authenticate. Keeps connections only to a few of them, and only while such requests come.
class PeerGateways {
public:
    PeerGateways(Net::EventLoop&, const Members&, PeerGatewaysOptions);

    const Member& self() const { return m_members.self(); }
    // Gateways to probe for a request to the service, with one that has lately met the need if there is any. Empty if no other gateway is
    // known, or if none meets it and too many have said so lately.
    std::vector<std::shared_ptr<Backend>> candidates(PeerNeed, const std::string& service);
    // Asks a gateway whether it meets the need for its service, and for its load. One that does not is left out of candidates() for a while.
    void probe(PeerNeed, const std::shared_ptr<Backend>&, Common::Duration timeout, const std::function<void(const ProbeAnswer&)>& done);
    // Leaves a gateway out of candidates() for a while.
    void avoid(PeerNeed, const Backend&);
    Decisions::PeerSignal signal(const Backend&) const;

    // Called about once a second. Closes connections that are not used any more.
    void closeIdleConnections();

private:
    // A gateway that did not answer, or did not meet the need.
    struct Refusal {
        Common::TimePoint at;
        bool isOfOwnDomain = false;
    };
    // The gateways used for one need of one service.
    struct Pool {
        std::vector<std::shared_ptr<Backend>> chosen;
        std::map<std::string, Refusal> refusals; // the last one of each gateway, by control address
        Common::TimePoint filledAt;
        Common::TimePoint usedAt;
    };

    void fill(Pool&, PeerNeed, const std::string& service);
    bool isUsable(const Backend&) const;
    bool isOfOwnDomain(const Backend& peer) const { return peer.record().failureDomain == m_options.failureDomain; }
    bool isAvoided(const Refusal&) const;
    bool isOwnDomainLost(const Pool&) const;
    // Whether it has answered lately that it meets the need.
    bool isProven(const Backend&) const;
    BackendOptions optionsFor(PeerNeed, const std::string& service) const;

    Net::EventLoop& m_loop;
    const Members& m_members;
    PeerGatewaysOptions m_options;
    std::map<std::pair<PeerNeed, std::string>, Pool> m_pools; // by need and service
};

}
