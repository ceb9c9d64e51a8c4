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
    int serversPerCarrier = 8; // backend servers per carrier, in each failure domain
};

// Number of carriers of a service in each failure domain. A power of two, unless it is the minimum, so that it seldom
// changes with the number of backend servers.
int carriersPerDomain(const CarrierRule&, std::size_t backendServers);

// The `perDomain` entries with the highest rendezvous hashes in each failure domain, sorted by peer address. An entry chosen
// from a set of entries is also chosen from every subset that contains it.
std::vector<MemberRecord> chooseCarriers(const std::string& service, int perDomain, std::span<const MemberRecord> entries);

struct CarrierSharesOptions {
    Common::Hooks hooks;
    std::string self; // peer address
    // The highest number of carriers is kept for one to two windows.
    Common::Duration window = std::chrono::minutes(3);
    // Wait before a new share is used, so that the other entries learn of it first.
    Common::Duration settlingTime = std::chrono::seconds(2);
};

// This entry's share of each service's budgets. The shares of all entries add up to at most the budget as long as each entry
// knows at least every running one: a share belongs to those chosen from all known entries, and each divides by their number.
class CarrierShares {
public:
    explicit CarrierShares(CarrierSharesOptions);

    // `live` and `known` include this entry.
    CarrierShare update(const std::string& service, int perDomain, std::span<const MemberRecord> live, std::span<const MemberRecord> known);
    // Whether a new share is not used yet.
    bool isSettling() const;
    void forget(const std::string& service) { m_budgetShares.erase(service); }

private:
    struct BudgetShare {
        bool holds = false;
        Common::TimePoint since;
        int windowMax = 0; // highest number of carriers in the current window
        int previousWindowMax = 0;
        Common::TimePoint windowStart;
    };

    void recordCount(BudgetShare&, int count) const;

    CarrierSharesOptions m_options;
    std::map<std::string, BudgetShare> m_budgetShares;
};

}
