#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "Decisions/Placement.h"
#include "Decisions/ServerLimit.h"
#include "Decisions/ServerPause.h"
#include "Gateway/LoadReport.h"
#include "Gateway/ServerRecord.h"
#include "Gateway/WireHeaders.h"
#include "Net/HttpClient.h"

namespace Gateway {

// Outcome of one request or load probe, as far as it tells of the path to the server.
struct ServerContact {
    std::optional<Net::ClientFailure> failure; // nullopt: the server answered
    bool isNewConnection = false;
    Common::TimePoint sentAt;
};

struct BackendOptions {
    const WireHeaders* headers = nullptr;
    std::string healthPath;
    std::string failureDomain; // of this gateway
    // Called once when the server says that it is leaving, and each time that it asks for a pause.
    std::function<void(const ServerRecord&)> left = [](const ServerRecord&) {};
    std::function<void(const ServerRecord&, Common::Duration pause)> paused = [](const ServerRecord&, Common::Duration) {};
    // This gateway's share, in requests a second, of a limit that the server has named.
    std::function<double(const ServerRecord&, double perSecond)> limitShare = [](const ServerRecord&, double perSecond) { return perSecond; };
    // The same of the rate that a cold server takes.
    std::function<double(const ServerRecord&, double perSecond)> warmupShare = [](const ServerRecord&, double perSecond) { return perSecond; };
    // Called when the limit that the server names has changed; nullopt: it names none any more.
    std::function<void(const ServerRecord&, std::optional<double> perSecond, double share)> limitChanged = [](const ServerRecord&, std::optional<double>, double) {};
    // Called with the outcome of each request and load probe.
    std::function<void(const ServerRecord&, const ServerContact&)> contacted = [](const ServerRecord&, const ServerContact&) {};
    double warmupPerSecond = 0; // requests a second that a cold server takes from all gateways together; 0: no limit
    int maxConnections = 15; // free connections kept: this gateway's share of the server's limit
    Net::ClientOptions client;
};

// Result of a load probe.
struct ProbeAnswer {
    bool answered = false;
    bool healthy = false; // answered with status 200, by the expected server
    bool reported = false; // the answer had a valid load report
};

// One backend server: its connections, and the statistics that this gateway keeps on it. Lives as long as the registry lists
// it or a request to it is in flight.
class Backend : public std::enable_shared_from_this<Backend> {
public:
    Backend(Net::EventLoop&, ServerRecord, BackendOptions);

    const ServerRecord& record() const { return m_record; }
    // Applies a newer registry entry. A new incarnation or address resets connections and statistics.
    void update(const ServerRecord&);
    void setOptions(BackendOptions options);

    // Called when the registry no longer lists the server: it takes no more requests.
    void retire();
    // Called when the registry lists the same incarnation again.
    void revive() { m_retired = false; }
    // Whether it may take requests: not retired, not draining or leaving, its failure domain is not evacuated, and no
    // other server answers at its address.
    bool isUsable() const { return !m_retired && !m_record.draining && !m_leaving && !m_misdirected && !m_evacuated; }
    // Whether it may get requests and load probes now: it is usable, has not asked for a pause, and this gateway's share of its limit,
    // or of its rate while it is cold, is not used up.
    bool isAvailable(Common::TimePoint now) const { return isUsable() && !m_pause.isActive(now) && allowsRequest(now); }
    // Whether this gateway's shares of its limits allow a request.
    bool allowsRequest(Common::TimePoint now) const { return m_limit.allows(now) && (!isWarming(now) || m_warmup.allows(now)); }
    // Whether it is cold, and takes a limited rate until it is warm.
    bool isWarming(Common::TimePoint now) const { return now < m_coldUntil && m_warmup.isSet(); }
    // Until the limits allow a request; nullopt if this gateway has no share of its limit.
    std::optional<Common::Duration> limitLeft(Common::TimePoint now) const;
    // Until the end of the pause that the server asked for; zero without one.
    Common::Duration pauseLeft(Common::TimePoint now) const { return m_pause.timeLeft(now); }
    // When a request or load probe was last sent to it; at first, when it became known.
    Common::TimePoint lastContact() const { return m_lastContact; }
    const Decisions::ServerLimit& limit() const { return m_limit; }
    // Called when the gateways that share the limit have changed.
    void updateLimitShare();
    // Called about once a second. A gateway that sends a limited server nothing learns by load probes, in a fleet of `gatewayCount`
    // less often, that the limit has changed or ended.
    void checkLimit(Common::TimePoint now, int gatewayCount);
    // Called when the server said that it is leaving. Holds for this incarnation, whatever the registry says.
    void setLeaving();
    bool isLeaving() const { return m_leaving; }
    bool isMisdirected() const { return m_misdirected; }
    // Called when another server answered at the address; holds until the registry gives a new incarnation or address.
    void setMisdirected();

    // Its failure domain is evacuated, or no more: requests in flight go on.
    void setEvacuated(bool isEvacuated);

    // Requests health and load. `done` is called once, unless the backend is destroyed first.
    void probe(Common::Duration timeout, const std::function<void(const ProbeAnswer&)>& done);
    // Requests health and load over a new connection, which shows whether one can be opened.
    void probeNewConnection(Common::Duration timeout, const std::function<void(const ProbeAnswer&)>& done);
    // Finds out whether the server still runs: by a load probe or, if it may get none now, by opening a connection. `done` is called as
    // for probe().
    void checkAlive(Common::Duration timeout, std::function<void(bool isAlive)> done);
    // Sends over the most recently used free connection that was idle for at most `maxIdle`, or over a new one. `timeout` bounds
    // the time to the complete response.
    std::shared_ptr<Net::ClientConnection> send(
        std::string bytes, bool expectsBody, Common::Duration timeout, Common::Duration maxIdle, Net::ClientHandlers);
    // Cancels a request in flight by closing its connection, which stops the server's work on it.
    void abandon(const std::shared_ptr<Net::ClientConnection>&);

    // Update the statistics. `expectedMs`: response time predicted at placement; `tookMs`: the measured one.
    void recordAnswer(double tookMs, double expectedMs);
    void recordFailure();
    enum class ResponseKind {
        Request,
        Probe,
    };

    // Takes what a response tells of the server: load, that it is leaving, a pause that it asks for, its limit.
    void learnFrom(const Net::Response&, ResponseKind = ResponseKind::Request);
    void beginRequest();
    void endRequest();

    Decisions::ServerSignal signal(Common::TimePoint now) const;
    double failureShare(Common::TimePoint now) const;
    // Age of the last load report; nullopt without one.
    std::optional<Common::Duration> reportAge(Common::TimePoint now) const { return m_report ? std::optional(now - m_report->at) : std::nullopt; }
    // Whether it failed its last probes: ranked behind other servers until the suspect period ends or a probe succeeds.
    bool isSuspect(Common::TimePoint now) const { return now < m_suspectUntil; }
    bool hasFreeConnection() const { return !m_free.empty(); }
    int inFlight() const { return m_inFlight; }
    std::size_t connections() const { return m_free.size() + m_busy.size(); }
    std::uint64_t connectionsOpened() const { return m_connectionsOpened; }

    // Closes free connections before the server's idle timeout does.
    void closeIdleConnections(Common::TimePoint now);

private:
    struct AcquiredConnection {
        std::shared_ptr<Net::ClientConnection> connection;
        bool reused = false; // not newly opened
    };

    AcquiredConnection acquireConnection(Common::Duration maxIdle);
    AcquiredConnection openConnection();
    void releaseConnection(const std::shared_ptr<Net::ClientConnection>&);
    bool isStale(const Net::ClientConnection&, Common::TimePoint now) const;
    void reportContact(const ServerContact&);
    std::shared_ptr<Net::ClientConnection> sendOver(
        const AcquiredConnection&, std::string bytes, bool expectsBody, Common::Duration timeout, Net::ClientHandlers);
    void sendProbe(const AcquiredConnection&, Common::Duration timeout, bool mayRetryOnNewConnection, const std::function<void(const ProbeAnswer&)>& done);
    void recordProbeFailure(bool wasReused);
    void updateLoadReport(const Net::Headers&);
    void updateLimit(const Net::Response&, ResponseKind);
    void endLimit();
    void updateWarmup(const Net::Response&, ResponseKind);
    // A server that becomes cold starts with no requests in hand.
    void setColdUntil(Common::TimePoint);
    void updateWarmupRate();
    void resetLearnedState();

    Net::EventLoop& m_loop;
    ServerRecord m_record;
    BackendOptions m_options;
    std::deque<std::shared_ptr<Net::ClientConnection>> m_free;
    std::unordered_set<std::shared_ptr<Net::ClientConnection>> m_busy;
    std::optional<LoadReport> m_report;
    Common::TimePoint m_lastContact;
    Common::TimePoint m_coldUntil;
    Common::TimePoint m_suspectUntil;
    Common::TimePoint m_statisticsUpdatedAt;
    double m_slowness = 1;
    double m_failureWeight = 0; // counts that decay exponentially
    double m_answerWeight = 0;
    int m_consecutiveProbeFailures = 0;
    int m_unreported = 0; // own requests in flight that the last load report doesn't count
    int m_inFlight = 0;
    std::uint64_t m_connectionsOpened = 0;
    bool m_healthy = true;
    bool m_retired = false;
    bool m_misdirected = false;
    bool m_leaving = false;
    bool m_evacuated = false;
    Decisions::ServerPause m_pause;
    Decisions::ServerLimit m_limit;
    Decisions::ServerLimit m_warmup; // while the server is cold
    bool m_probesTellWarmup = false; // answers to load probes have told that the server is cold, so one that doesn't says that it is warm
    bool m_requestsTellWarmup = false; // the same for answers to requests
    bool m_probesNameLimit = false; // answers to load probes have named the limit, so one without it tells that it ended
};

}
