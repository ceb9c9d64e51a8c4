#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Decisions/CarrierShare.h"
#include "Decisions/GossipMessage.h"

namespace Decisions {

struct CarrierRule {
    int minPerDomain = 2;
    int serversPerCarrier = 8; // backend servers for each carrier of a failure domain
};

// Carriers of a service in each failure domain: a power of two, so that it seldom changes with the service's size.
int carriersPerDomain(const CarrierRule&, std::size_t backendServers);

// The entries of each failure domain with the highest rendezvous hashes, `perDomain` of each. An entry that is chosen among
// some entries is chosen among any part of them that holds it. Sorted by peer address.
std::vector<MemberRecord> chooseCarriers(const std::string& service, int perDomain, std::span<const MemberRecord> entries);

struct SharesOptions {
    Common::Hooks hooks;
    std::string self; // peer address
    Common::Duration window = std::chrono::minutes(3); // how long the largest count of carriers is remembered
    Common::Duration settling = std::chrono::seconds(2); // before a new share is used, so that the others know of it
};

// This entry's share of each service's budgets. The sum over all entries stays within the budget while each knows at least
// every running entry: a share is held by those chosen among all known entries, and each of them divides by their number.
class CarrierShares {
public:
    explicit CarrierShares(SharesOptions);

    // `live` and `known` hold this entry too.
    CarrierShare update(const std::string& service, int perDomain, std::span<const MemberRecord> live, std::span<const MemberRecord> known);
    // Whether a share waits for its time to come.
    bool settling() const;
    void forget(const std::string& service) { m_services.erase(service); }

private:
    struct Holding {
        bool holds = false;
        Common::TimePoint since;
        int most = 0; // in the current window
        int mostBefore = 0; // in the one before
        Common::TimePoint windowStart;
    };

    void noteCount(Holding&, int count) const;

    SharesOptions m_options;
    std::map<std::string, Holding> m_services;
};

}
