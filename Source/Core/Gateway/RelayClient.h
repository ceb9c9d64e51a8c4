#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Common/EventLog.h"
#include "Gateway/Catalog.h"
#include "Gateway/Members.h"
#include "Gateway/RelayMessages.h"
#include "Net/HttpClient.h"

namespace Gateway {

struct RelayClientOptions {
    std::string target; // path of the request
    std::function<RelayList()> relayList; // as this gateway knows it
    Common::Duration timeoutMargin = std::chrono::milliseconds(300); // added to the long-poll wait; a relay that takes longer has failed
    Common::Duration marginPerGateway = std::chrono::milliseconds(2); // added for each member: a relay answers many simultaneous requests one by one
    Common::Duration retryInterval = std::chrono::milliseconds(150); // between requests while every relay has failed or is out of date
    Common::Duration avoidPeriod = std::chrono::seconds(1); // for which a failed relay is asked only if no other is left
    Common::Duration maxCatalogAge = std::chrono::milliseconds(1000); // a relay with an older catalog is avoided like a failed one
};

// Follows one relay at a time: keeps a long-poll request for updates open and applies the responses.
class RelayClient {
public:
    RelayClient(Net::EventLoop&, Common::EventLog&, Catalog&, Members&, Decisions::CrashSuspects&, Decisions::FleetAllowance&, RelayClientOptions);

    // Control addresses of relays to follow, in order of preference. While there are none, no request is sent.
    void setCandidates(std::vector<std::string>);
    // How long a relay may hold a request open until there is an update.
    void setWait(Common::Duration wait) { m_wait = wait; }
    void setRetryInterval(Common::Duration interval) { m_options.retryInterval = interval; }
    // Called with the relay list of every response.
    void onRelayList(std::function<void(const RelayList&)> hook) { m_relayListHook = std::move(hook); }
    // Called when a response contained crash reports that other gateways have to be told.
    void onCrashes(std::function<void()> hook) { m_crashHook = std::move(hook); }
    // Called when a response contained fractions that other gateways have to be told.
    void onAllowances(std::function<void()> hook) { m_allowanceHook = std::move(hook); }
    void start();
    void stop();
    // Sends the relay list to a gateway once, without following it.
    void sendRelayList(const std::string& control);
    // Replaces the open request, so that the relay learns of this gateway's changed member record or crash reports at once.
    void restart();
    // Whether there are crash reports that the relay has not got.
    bool hasCrashReports() const { return m_reported.crashes < m_crashSuspects.revision(); }

    // When a relay with a recent catalog last responded; the epoch before the first.
    Common::TimePoint lastFreshResponse() const { return m_lastFreshResponse; }
    // When any gateway last responded, be it no relay or out of date; the epoch before the first.
    Common::TimePoint lastResponse() const { return m_lastResponse; }
    // Whether the last response came from a gateway that is no relay or out of date.
    bool isLastAnswerOutdated() const { return m_lastAnswerOutdated; }
    // The relay that is followed; empty before the first response and after a failure.
    const std::string& currentRelay() const { return m_currentRelay; }

private:
    struct RelayState {
        Common::TimePoint avoidUntil;
    };
    // The relay process that last answered a request for the full catalog, and whether it knew all removals then.
    struct FullCatalogSource {
        std::string relay;
        std::int64_t startedMs = 0;
        bool knowsRemovals = false;
        bool operator==(const FullCatalogSource&) const = default;
    };

    void sendRequest();
    void scheduleRequest(Common::Duration);
    // Delay of the next request when all relays are avoided.
    Common::Duration pauseLeft() const;
    Common::Duration retryInterval() const { return m_options.retryInterval + m_options.marginPerGateway * static_cast<int>(m_members.size()); }
    Common::Duration nextWait() const;
    Common::Duration timeoutMargin() const { return m_options.timeoutMargin + m_options.marginPerGateway * static_cast<int>(m_members.size()); }
    // Revisions of what a request reports, to be remembered once it is answered.
    struct Reported {
        std::uint64_t crashes = 0;
        std::uint64_t usage = 0;
    };
    Net::Request updateRequest(const std::string& relay, Common::Duration wait) const;
    bool isAvoided(const std::string& relay) const;
    bool allAvoided() const;
    std::string chooseRelay() const;
    void onResponse(const std::string& relay, Net::ResponseHead&&, Reported);
    // Adds the time since the relay answered, as far as it can't be told from the time for which it held the request open.
    void ageConfiguration(UpdateResponse&) const;
    void updateFullCatalogRequest(const FullCatalogSource&);
    void onFailure(const std::string& relay, std::string_view cause);

    Net::EventLoop& m_loop;
    Common::EventLog& m_log;
    Catalog& m_catalog;
    Members& m_members;
    Decisions::CrashSuspects& m_crashSuspects;
    Decisions::FleetAllowance& m_allowances;
    RelayClientOptions m_options;
    std::vector<std::string> m_candidates;
    std::map<std::string, RelayState> m_relayStates; // by control address
    std::function<void(const RelayList&)> m_relayListHook;
    std::function<void()> m_crashHook;
    std::function<void()> m_allowanceHook;
    std::shared_ptr<Net::ClientConnection> m_connection;
    std::string m_connectedTo;
    std::map<std::string, std::shared_ptr<Net::ClientConnection>> m_oneTimeConnections; // of sendRelayList(), by control address
    std::string m_currentRelay;
    std::string m_membersFrom; // the relay whose member list this gateway holds
    std::uint64_t m_membersRevision = 0; // of that list; 0: none
    std::int64_t m_membersStartedMs = 0; // start of that relay's process
    FullCatalogSource m_fullCatalogSource;
    bool m_wantsFullCatalog = false;
    std::uint64_t m_crashesRevision = 0; // of that relay's crash reports
    Reported m_reported; // what that relay has of the own reports
    std::uint64_t m_allowancesRevision = 0; // of the fractions of that relay
    Common::Duration m_wait = std::chrono::milliseconds(400);
    Common::TimePoint m_lastFreshResponse;
    Common::TimePoint m_lastResponse;
    Common::TimePoint m_requestSentAt; // boot time
    Common::Duration m_requestedWait {}; // of that request
    bool m_answeredEarly = true; // the last request was answered before its wait was over
    Common::TimePoint m_roundStartedAt; // last request to a relay that was avoided, since all were
    Net::EventLoop::TimerId m_timer = 0;
    bool m_running = false;
    bool m_requestPending = false;
    bool m_lastAnswerOutdated = false; // that of the relay asked last
    bool m_currentRelayOutdated = false;
};

}
