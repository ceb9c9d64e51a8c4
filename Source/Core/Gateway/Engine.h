#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>

#include "Common/EventLog.h"
#include "Common/LatencySummary.h"
#include "Decisions/LoadProbeBudget.h"
#include "Decisions/Placement.h"
#include "Decisions/Refusal.h"
#include "Decisions/WeightedSplit.h"
#include "Decisions/WindowedRetryBudget.h"
#include "Gateway/Backends.h"
#include "Gateway/Configuration.h"

namespace Gateway {

class RequestRun;

struct EngineOptions {
    WireHeaders headers;
    Decisions::PlacementOptions placement;
    Decisions::WindowedRetryBudgetOptions retries;
    double probesPerServer = 60; // a second, over all entries (the operators' bound)
};

struct EngineCounters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0; // 503, not run
    std::uint64_t failed = 0; // 502, 504
    std::uint64_t unknownRoute = 0;
    std::uint64_t abandoned = 0; // the caller left
    std::uint64_t sends = 0;
    std::uint64_t secondSends = 0;
    std::uint64_t probes = 0;
};

// Routes callers' requests to backend servers. Knows the configuration in force; runs one RequestRun a request.
class Engine {
public:
    Engine(Net::EventLoop&, Common::EventLog&, Backends&, EngineOptions);
    ~Engine();

    // In force for every request that begins from now on; an older version than the one in force is ignored.
    bool apply(std::shared_ptr<const Configuration>);
    const std::shared_ptr<const Configuration>& configuration() const { return m_configuration; }
    // How many entries share the retry and probe budgets; about once a second.
    void setEntries(int entries);

    void serve(const std::shared_ptr<Net::Exchange>&);

    // For runs.
    Net::EventLoop& loop() { return m_loop; }
    Common::EventLog& log() { return m_log; }
    Backends& backends() { return m_backends; }
    const EngineOptions& options() const { return m_options; }
    EngineCounters& counters() { return m_counters; }
    const EngineCounters& counters() const { return m_counters; }
    Common::LatencySummary& totalTimes() { return m_totalTimes; }
    Common::LatencySummary& serverTimes() { return m_serverTimes; }
    Common::LatencySummary& placeTimes() { return m_placeTimes; }
    Decisions::WindowedRetryBudget& allowance(const std::string& service);
    Decisions::LoadProbeBudget& questions() { return m_questions; }
    // Unloaded work of a route's requests as learned, in milliseconds.
    double usualWorkMs(const Route&) const;
    void learnWork(const Route&, double tookMs, double factor);
    void finished(const std::shared_ptr<RequestRun>&);
    std::size_t running() const { return m_runs.size(); }

private:
    std::string chooseService(const Route&);
    void answerUnknown(const std::shared_ptr<Net::Exchange>&);

    Net::EventLoop& m_loop;
    Common::EventLog& m_log;
    Backends& m_backends;
    EngineOptions m_options;
    int m_entries = 1;
    std::shared_ptr<const Configuration> m_configuration;
    std::map<std::string, Decisions::WeightedSplit> m_splits; // by route
    std::map<std::string, Decisions::WindowedRetryBudget> m_allowances; // by service
    Decisions::LoadProbeBudget m_questions;
    std::map<std::string, double> m_workMs; // by route
    std::unordered_set<std::shared_ptr<RequestRun>> m_runs;
    EngineCounters m_counters;
    Common::LatencySummary m_totalTimes;
    Common::LatencySummary m_serverTimes;
    Common::LatencySummary m_placeTimes;
};

}
