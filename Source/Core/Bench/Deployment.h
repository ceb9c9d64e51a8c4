#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Records/ServiceRecord.h"

namespace Bench {

// One kind of call that callers make of a service.
struct CallKind {
    std::string method;
    std::string path;
    double share = 1; // of the service's calls
    bool never = false; // may not be repeated
    bool claim = false; // its rule claims the id in the table
};

struct ServiceShape {
    std::string name;
    int servers = 6;
    int slots = 4;
    double probeBudget = 10; // probes/s for the whole service
    std::vector<CallKind> calls;
};

// The sizes of one user's installation.
struct Deployment {
    std::string name;
    int entries = 1;
    int failureDomains = 1;
    Common::Duration serviceTime = std::chrono::milliseconds(20); // mean work of a call
    Records::Goal goal = Records::Goal::Latency;
    std::vector<ServiceShape> services;
};

// All deployments that the bench knows.
std::span<const Deployment> deployments();
// Null when there is none of that name.
const Deployment* findDeployment(const std::string& name);

// "a", "b", ...
std::string domainName(int index);

}
