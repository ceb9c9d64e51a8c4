#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/Clock.h"

namespace Decisions {

// The allowance of one organisation, over all gateways.
struct AllowanceLimit {
    std::string organisation;
    double ratePerSecond = 0;
    double burst = 0;
    bool operator==(const AllowanceLimit&) const = default;
};

// How much a gateway admits of the requests of an organisation that is near its allowance.
struct Allowance {
    std::string organisation;
    double fraction = 1; // of the requests
    Common::Duration wait {}; // until the organisation's bucket has room
};

// Requests of one organisation at one gateway since the gateway's process started.
struct OrganisationUsage {
    std::string organisation;
    std::uint64_t received = 0;
    std::uint64_t admitted = 0;
};

// What one gateway has counted. Applying a report twice, or an older one after a newer one, has no effect.
struct UsageReport {
    std::string gateway; // control address
    std::int64_t startedMs = 0; // start of its process
    bool isFull = false; // names all organisations; else only those whose counts have changed
    Common::Duration countedFor {};
    std::vector<OrganisationUsage> usage;
};

// The operators' bound on an organisation's requests in any window: (rate x window + burst) x (1 + overage) + slack.
struct AllowanceOptions {
    double windowS = 5;
    double overage = 0.1;
    double slack = 20;
    Common::Duration reserveTime = std::chrono::seconds(5); // for which a silent gateway's last rate is assumed to go on

    // Requests beyond rate and burst that the bound leaves.
    double tolerance(const AllowanceLimit& limit) const { return overage * (limit.ratePerSecond * windowS + limit.burst) + slack; }
};

struct AllowanceVerdict {
    bool isAdmitted = true;
    Common::Duration wait {}; // if not: until there is room again
};

// Of an organisation's requests; 1 where it is not limited.
inline double fractionOf(const std::map<std::string, double>& fractions, const std::string& organisation)
{
    auto it = fractions.find(organisation);
    return it == fractions.end() ? 1.0 : it->second;
}

}
