#pragma once

#include <functional>
#include <map>
#include <string>

#include "Decisions/LatencyHistogram.h"
#include "Decisions/Placement.h"

namespace Decisions {

struct HedgePolicyOptions {
    double extraShare = 0; // hedged attempts per request of the service, over all gateways (the operators' bound); 0: no hedging
    double burst = 10; // hedged attempts on top of the share, over all gateways
    int gateways = 1; // that share the burst
    std::uint32_t minSamples = 60; // response times needed before the quantile of a route is used
    double maxPushbackShare = 0.03; // of the recent requests: refused as busy, or rejected by a server
    Common::Duration pushbackMemory = std::chrono::seconds(10); // time constant of that share
    double retryReserve = 1; // attempts of the retry budget that a hedge leaves to retries
};

// Whether a hedged attempt may be sent, or why not.
enum class HedgeVerdict {
    Allowed,
    NoBudget, // the share of the service's requests is used up
    NoRetryBudget,
    Busy, // the servers have refused too many requests recently
};

const char* hedgeVerdictName(HedgeVerdict);

// Response times of one route over about the last minute, in constant memory.
class RecentTimes {
public:
    void add(Common::Duration, Common::TimePoint now, std::uint32_t minSamples);
    std::optional<Common::Duration> quantile(double q, Common::TimePoint now, std::uint32_t minSamples) const;

private:
    LatencyHistogram m_current;
    LatencyHistogram m_previous;
    Common::TimePoint m_currentSince;
};

// When requests of one service get a second, hedged attempt, and how many of them may, at one gateway. Not thread-safe.
class HedgePolicy {
public:
    explicit HedgePolicy(HedgePolicyOptions options = {});

    bool isEnabled() const { return m_options.extraShare > 0; }
    void setGateways(int gateways);
    // Forgets the routes for which `isKept` is false.
    void retainRoutes(const std::function<bool(const std::string&)>& isKept);

    void onRequest(Common::TimePoint now);
    // Called when another gateway makes the attempts of a request that was counted here, and counts it.
    void onRequestHandedOver();
    // Called when a request was refused since the servers have no room, or a server rejected it.
    void onPushback(Common::TimePoint now);
    // Called with the response time of an attempt that is not a hedge. Of one that was cancelled: with the time until then, if that was
    // longer than the time after which the hedge was due. Without these, hedging would lower the quantile and so cause more hedging.
    void onAttemptTime(const std::string& route, Common::Duration took, Common::TimePoint now);

    struct Timing {
        Common::Duration expected; // response time of the open attempt
        Common::Duration hedgeExpected; // response time of a hedge at an unloaded server
        Common::Duration left; // until the deadline
        Common::Duration fallback; // due time while the route's response times are not known well enough
    };
    // Time after the start of the open attempt at which a hedge is due; nullopt if its response would miss the deadline.
    std::optional<Common::Duration> due(const std::string& route, const Timing&, Common::TimePoint now) const;
    // Whether a hedge may be sent now, with `retriesLeft` in the retry budget.
    HedgeVerdict check(double retriesLeft, Common::TimePoint now) const;
    // Takes a hedge from the share. To be called after check() allowed it.
    void take() { m_tokens -= 1; }
    // The quantile of a route's response times after which a hedge is due.
    double quantile() const;

private:
    double pushbackShare(Common::TimePoint now) const;
    void decayCounts(Common::TimePoint now);

    HedgePolicyOptions m_options;
    std::map<std::string, RecentTimes> m_times; // by route
    double m_tokens = 0;
    double m_recentRequests = 0; // decay exponentially, as do the following
    double m_recentPushbacks = 0;
    Common::TimePoint m_countsUpdatedAt;
};

// Whether a server that has answered a load probe may take a hedge of a request whose open attempt was sent `elapsedMs` ago.
bool acceptsHedge(const ServerSignal&, double workMs, int priority, double elapsedMs, const PlacementOptions&);

}
