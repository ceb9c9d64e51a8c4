#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>

#include "Common/EventLog.h"
#include "Common/LatencySummary.h"
#include "Decisions/Authentication.h"
#include "Decisions/CrashSuspects.h"
#include "Decisions/FleetAllowance.h"
#include "Decisions/HedgePolicy.h"
#include "Decisions/LoadProbeBudget.h"
#include "Decisions/Placement.h"
#include "Decisions/Refusal.h"
#include "Decisions/WeightedSplit.h"
#include "Decisions/WindowedRetryBudget.h"
#include "Gateway/Backends.h"
#include "Gateway/Configuration.h"
#include "Gateway/PeerGateways.h"

namespace Gateway {

class RequestForwarder;
enum class RequestOrigin;

struct RequestRouterOptions {
    WireHeaders headers;
    Decisions::PlacementOptions placement;
    Decisions::WindowedRetryBudgetOptions retries;
    Decisions::HedgePolicyOptions hedging = {};
    double probesPerServer = 60; // load probes a second to each server, from all gateways together (the operators' bound)
    // Called when this gateway has learned that a server ended under a request.
    std::function<void()> crashRecorded = [] {};
    const Net::MemoryBudget* budget = nullptr; // must outlive the router; null: none
    // Upper bound on the time since the store confirmed the configuration in force; nullopt: none is known.
    std::function<std::optional<Common::Duration>()> configurationAge = [] { return std::optional(Common::Duration::zero()); };
    // A revoked API key must not work for longer; nullopt: no such limit.
    std::optional<Common::Duration> revokeTime = {};
    Common::Duration applyTime = std::chrono::seconds(2); // in which changes of the configuration arrive
    Decisions::AllowanceOptions allowances;
};

// What is known of the sender of a request.
struct CallerIdentity {
    Decisions::AuthenticationVerdict verdict = Decisions::AuthenticationVerdict::Serve;
    std::optional<Organisation> organisation; // empty on public routes and where the configuration has no organisations
};

// Of a planned stop of the gateway.
struct StopPeriod {
    Common::TimePoint begin;
    Common::TimePoint end;
};

struct RequestCounters {
    std::uint64_t requests = 0; // of callers
    std::uint64_t forwarded = 0; // sent to other gateways
    std::uint64_t forwardedAsOutdated = 0; // of the forwarded ones: the configuration was too old to tell whether the key is valid
    std::uint64_t acceptedForwarded = 0; // that other gateways have sent here
    std::uint64_t acceptedUnauthenticated = 0; // of the accepted ones: this gateway authenticates the caller
    std::uint64_t answered = 0;
    std::uint64_t refused = 0; // answered with 503, not executed by any server
    std::uint64_t blocked = 0; // of the refused ones: requests that end the servers that run them
    std::uint64_t failed = 0; // answered with 502 or 504, or with 400, 408 or 413 in the middle of a streamed request body
    std::uint64_t unprovenRejections = 0; // responses of servers whose status says "not executed" without the header that states it; not passed on
    std::uint64_t cut = 0; // of the failed ones: broken off in the middle of the response
    std::uint64_t refusedForMemory = 0; // of the refused ones
    std::uint64_t longBodies = 0; // requests whose body was streamed, refused ones included
    std::uint64_t unknownRoute = 0; // answered with 404
    std::uint64_t unauthorized = 0; // answered with 401
    std::uint64_t refusedAsOutdated = 0; // of the refused ones: the configuration was too old to tell whether the key is valid
    std::uint64_t refusedForAllowance = 0; // answered with 429
    std::uint64_t abandoned = 0; // the caller disconnected first
    std::uint64_t attempts = 0; // requests sent to servers, retries included
    std::uint64_t retries = 0; // retries and hedged attempts decided on
    std::uint64_t hedges = 0; // of the retries: hedged attempts sent; this and the following only with a hedging share
    std::uint64_t hedgesWon = 0; // of the hedges: answered the request
    std::uint64_t hedgesDenied = 0; // requests whose hedge was due and not sent at once
    std::uint64_t probes = 0; // load probes sent
};

// Routes callers' requests to backend servers by the configuration in force. Creates one RequestForwarder for each request.
class RequestRouter {
public:
    RequestRouter(Net::EventLoop&, Common::EventLog&, Backends&, PeerGateways&, RequestRouterOptions);
    ~RequestRouter();

    // Applies a configuration to all requests that begin from now on. Returns false, and ignores it, unless its version is newer
    // than the one in force.
    bool apply(std::shared_ptr<const Configuration>);
    const std::shared_ptr<const Configuration>& configuration() const { return m_configuration; }
    // Number of gateways that share the retry and probe budgets. Called about once a second.
    void setGatewayCount(int gatewayCount);
    int gatewayCount() const { return m_gatewayCount; }

    void serve(const std::shared_ptr<Net::Exchange>&);
    // Serves a request that another gateway has forwarded, or its load probe.
    void serveForwarded(const std::shared_ptr<Net::Exchange>&);

    // For RequestForwarder.
    Net::EventLoop& loop() { return m_loop; }
    Common::EventLog& log() { return m_log; }
    Backends& backends() { return m_backends; }
    PeerGateways& peers() { return m_peers; }
    const RequestRouterOptions& options() const { return m_options; }
    // Whether the memory budget allows one more request. `isBodyWhole`: its body is not streamed.
    bool hasMemory(bool isBodyWhole) const;
    // Whether requests need API keys on routes that are not public.
    bool needsKeys() const { return m_configuration && !m_configuration->organisations.empty(); }
    // Whether keys in the configuration may have been revoked for too long, so that no request that needs one is served.
    bool isConfigurationOutdated() const;
    // The gateway stops: requests that are not answered by the end are cut off.
    void setStopPeriod(const StopPeriod& period) { m_stopPeriod = period; }
    const std::optional<StopPeriod>& stopPeriod() const { return m_stopPeriod; }
    CallerIdentity identify(const Net::Request&, const Route&) const;
    // Answers a request that identify() does not let pass. `notExecuted`: of a 503 to another gateway, the value of the header "not executed".
    void rejectCaller(const std::shared_ptr<Net::Exchange>&, const Route&, Decisions::AuthenticationVerdict, const char* notExecuted = "");
    // The organisations' allowances. Requests count at the gateway that authenticates their callers.
    Decisions::FleetAllowance& allowances() { return m_allowances; }
    RequestCounters& counters() { return m_counters; }
    const RequestCounters& counters() const { return m_counters; }
    Common::LatencySummary& totalTimes() { return m_totalTimes; }
    Common::LatencySummary& serverTimes() { return m_serverTimes; }
    Common::LatencySummary& placementTimes() { return m_placementTimes; }
    Decisions::WindowedRetryBudget& retryBudget(const std::string& service);
    Decisions::HedgePolicy& hedgePolicy(const std::string& service);
    // Counts a request in the budgets of additional attempts, or no longer if another gateway makes its attempts.
    void countRequest(const std::string& service);
    void countHandedOver(const std::string& service);
    Decisions::LoadProbeBudget& probeBudget() { return m_probeBudget; }
    Decisions::CrashSuspects& crashSuspects() { return m_crashSuspects; }
    // Finds out by a probe whether the server ended under a request whose connection it closed, and records it. Then calls `done`.
    void checkCrash(std::uint64_t identity, const std::string& requestId, const std::shared_ptr<Backend>&, std::function<void()> done);
    // Moving average of the time that an unloaded server takes for a request of the route.
    double expectedServiceTimeMs(const Route&) const;
    // `factor`: expected response time by expected service time when the request was placed.
    void updateServiceTime(const Route&, double tookMs, double factor);
    void onRequestFinished(const std::shared_ptr<RequestForwarder>&);
    std::size_t requestsInFlight() const { return m_forwarders.size(); }

private:
    std::string chooseService(const Route&);
    void respondNoRoute(const std::shared_ptr<Net::Exchange>&);
    void respondNotConfigured(const std::shared_ptr<Net::Exchange>&, const char* cause);
    // Answers a request beyond the organisation's allowance.
    void refuseForAllowance(const std::shared_ptr<Net::Exchange>&, const Route&, const Organisation&, Common::Duration wait);
    // Routes a request and authenticates its caller, by the configuration in force.
    void serveCaller(const std::shared_ptr<Net::Exchange>&, RequestOrigin);
    Decisions::AuthenticationInputs authenticationInputs(bool isKeyKnown) const;
    bool acceptsPeerProbe(const std::string& target) const;
    void respondToPeerProbe(const std::shared_ptr<Net::Exchange>&);
    // Until the time budget that the request names, or else the limit, is over.
    Common::Duration timeAllowed(const Net::Request&, Common::Duration limit) const;
    void start(const std::shared_ptr<RequestForwarder>&);
    void recordCrash(std::uint64_t identity, const std::string& requestId, const ServerRecord&);

    Net::EventLoop& m_loop;
    Common::EventLog& m_log;
    Backends& m_backends;
    PeerGateways& m_peers;
    RequestRouterOptions m_options;
    int m_gatewayCount = 1;
    std::shared_ptr<const Configuration> m_configuration;
    std::optional<StopPeriod> m_stopPeriod;
    std::set<std::string> m_unknownKinds; // kinds of routes that were logged as unknown
    std::map<std::string, Decisions::WeightedSplit> m_splits; // by route
    std::map<std::string, Decisions::WindowedRetryBudget> m_retryBudgets; // by service
    std::map<std::string, Decisions::HedgePolicy> m_hedgePolicies; // by service
    Decisions::LoadProbeBudget m_probeBudget;
    Decisions::CrashSuspects m_crashSuspects;
    Decisions::FleetAllowance m_allowances;
    std::map<std::string, double> m_serviceTimeMs; // by route
    std::unordered_set<std::shared_ptr<RequestForwarder>> m_forwarders;
    RequestCounters m_counters;
    Common::LatencySummary m_totalTimes;
    Common::LatencySummary m_serverTimes;
    Common::LatencySummary m_placementTimes;
};

}
