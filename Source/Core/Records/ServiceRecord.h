#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/TomlReader.h"

namespace Records {

// How a backend server is chosen; all but Adaptive are baselines to compare with.
enum class Policy {
    Random,
    RoundRobin,
    LeastInFlight,
    PowerOfTwo,
    Adaptive,
};

// What probing is to serve first.
enum class Goal {
    Latency,
    ProbeCost,
};

// Whether a request may be sent more than once.
enum class Repeat {
    Safe,
    Never,
};

// Where a request is claimed before it is sent.
enum class Claim {
    None,
    Table, // a row in the platform's table: at most once over all entries
};

inline constexpr std::array policyNames {
    Common::EnumName<Policy> { Policy::Random, "random" },
    Common::EnumName<Policy> { Policy::RoundRobin, "round-robin" },
    Common::EnumName<Policy> { Policy::LeastInFlight, "least-in-flight" },
    Common::EnumName<Policy> { Policy::PowerOfTwo, "power-of-two" },
    Common::EnumName<Policy> { Policy::Adaptive, "adaptive" },
};

inline constexpr std::array goalNames {
    Common::EnumName<Goal> { Goal::Latency, "latency" },
    Common::EnumName<Goal> { Goal::ProbeCost, "probe-cost" },
};

inline constexpr std::array repeatNames {
    Common::EnumName<Repeat> { Repeat::Safe, "safe" },
    Common::EnumName<Repeat> { Repeat::Never, "never" },
};

inline constexpr std::array claimNames {
    Common::EnumName<Claim> { Claim::None, "none" },
    Common::EnumName<Claim> { Claim::Table, "table" },
};

// How requests of one method and path prefix are treated; the first rule that matches applies.
struct Rule {
    std::string method; // empty: any
    std::string pathPrefix = "/";
    Repeat repeat = Repeat::Never;
    Claim claim = Claim::None;
    bool hedge = false;
    double hedgeQuantile = 0.95; // of the usual answer time: a hedge is sent when the first attempt takes longer
    int deadlineMs = 0; // 0: the entry's default
};

// Bounds on the work an entry may add to a service's load, or hold back from it.
struct RequestLimits {
    double retryShare = 0.1; // retries as a share of the answered calls
    double hedgeShare = 0.05; // hedges as a share of the calls that may be hedged
    int queue = 64; // calls that may wait for a backend server, an entry
};

// One service as an operator describes it.
struct ServiceRecord {
    int schema = 1;
    std::string service;
    std::string pool; // a pool of the platform's instance list; empty where servers are explicit
    std::vector<std::string> servers; // ip:port each
    int slots = 4; // requests a backend server works on at once
    int connections = 300; // a backend server, over all entries
    double probeBudget = 10; // probes a second for the whole service, over all entries
    Goal goal = Goal::Latency;
    Policy policy = Policy::Adaptive;
    RequestLimits limits;
    std::vector<Rule> rules;
};

// All records in force at one revision.
struct RecordSet {
    std::uint64_t revision = 0;
    std::map<std::string, std::shared_ptr<const ServiceRecord>, std::less<>> services;
    // Services whose newest record this entry cannot read: what it had stays in `services`, but callers are not sent here.
    std::set<std::string, std::less<>> notUnderstood;

    // Whether the directory may name this entry for the service.
    bool offered(std::string_view service) const { return services.contains(service) && !notUnderstood.contains(service); }
};

inline constexpr int newestSchema = 2;

// Parses one record file of any known schema; every key of schema 1 has its counterpart in schema 2, which adds the limits
// and the hedges' quantile. Every mistake is added to `errors` and then nothing is returned.
std::optional<ServiceRecord> parseServiceRecord(const std::string& text, const std::string& file, std::vector<Common::FileError>& errors);

// The rule for a request: the record's first match, else the default by method (GET and HEAD are idempotent).
Rule ruleFor(const ServiceRecord&, std::string_view method, std::string_view path);

}
