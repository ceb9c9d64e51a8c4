#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Common/EventLog.h"
#include "Decisions/RelayElection.h"
#include "Gateway/Catalog.h"
#include "Gateway/Members.h"
#include "Gateway/RelayClient.h"
#include "Gateway/RelayServer.h"
#include "Gateway/StoreReader.h"

namespace Gateway {

struct CatalogSyncOptions {
    std::string relayListTable = "gateway"; // table of the store that only gateways write
    std::string relayListKey = "relays";
    std::string crashReportsKey = "crash-reports"; // row of the same table: the requests that are blocked
    std::vector<std::string> seeds; // control addresses (ip:port), possibly out of date
    std::string updateTarget = "/v1/news";
    StoreReaderOptions reader;
    Decisions::RelayElectionOptions election;
    Common::Duration applyTime = std::chrono::seconds(2); // the operators' bound on the time until a change of configuration or registry is in force on all gateways
    Common::Duration minFollowerAge = std::chrono::milliseconds(1300); // lower bound of the catalog age at which a follower reads the store
    bool bootstrap = false; // all gateways start for the first time
};

// Keeps the catalog and the member list current. Follows a relay; reads the store itself while it leads the relays or no relay
// has a recent catalog; takes part in relay election.
class CatalogSync {
public:
    CatalogSync(Net::EventLoop&, Common::EventLog&, Catalog&, Members&, Decisions::CrashSuspects&, Decisions::FleetAllowance&, Platform::AsyncTable readTable, Platform::AsyncTable relayListTable, CatalogSyncOptions);

    void start();
    // Called before this gateway stops: hands the lead over and makes followers turn to another relay.
    void leave();
    // Called when this gateway's own member record has changed.
    void onSelfChanged();
    // Called when this gateway has learned that a server ended under a request: tells the relay, or the followers.
    void onCrashRecorded();
    // Answers a request of another gateway for updates.
    void serve(const std::shared_ptr<Net::Exchange>& exchange) { m_server.serve(exchange); }

    const StoreReader& reader() const { return m_reader; }
    // Whether a relay with recent data answers.
    bool isRelayed() const { return m_relayed; }
    const RelayList& relayList() const { return m_relayList; }
    // Store calls that read or wrote the relay list.
    std::uint64_t relayListCalls() const { return m_relayListCalls; }
    // The largest number of gateways seen within the hold time, this one included; budgets are divided by it.
    int gatewayCount() const { return m_gatewayCount; }

private:
    void tick();
    void applyElection();
    Common::Duration followerBackoff() const;
    void stopReading();
    void updateRelayState();
    void updateGatewayCount();
    // Calculates the fractions of the organisations' requests, while this gateway leads the relays and organisations have allowances.
    void updateAllowances();
    Decisions::RelayRole role() const;
    // Whether this gateway has current data for others: as a relay or, while relays have none, as a preferred or reserve candidate.
    bool isRelay() const;
    // Whether this gateway has a relay's member list, or was a relay itself.
    bool isFleetSizeKnown() const;
    bool isLargeFleet() const { return m_gatewayCount >= m_options.election.largeFleetSize; }
    void updatePreferredCandidates();
    Decisions::RelayElectionInputs electionInputs() const;
    void updateCandidates();
    void adoptRelayList(RelayList);
    // Whether the store's era has changed since the relay list was written: its version can't be used as a condition.
    bool isRelayListOutdated() const { return m_catalog.hasEraChanged() && m_relayList.era < m_catalog.position().era; }
    void renewRelayList();
    void readRelayList();
    void takeLead();
    void appointStandby();
    // Keeps the blocked requests in the store, for gateways that start when all others have gone.
    void storeCrashReports();
    // Takes over what the store holds of them. `rows`: the rows read; if none is theirs, none are stored.
    void applyStoredCrashReports(const std::vector<Platform::TableRow>& rows);
    // `expected`: version of the stored list, 0 if there is none.
    void writeRelayList(const std::vector<std::string>& relays, std::uint64_t expected);
    void onRelayListWritten(const std::vector<std::string>& relays, const Platform::CommitResult&);

    Net::EventLoop& m_loop;
    Common::EventLog& m_log;
    Catalog& m_catalog;
    Members& m_members;
    Decisions::CrashSuspects& m_crashSuspects;
    Decisions::FleetAllowance& m_allowances;
    Platform::AsyncTable m_relayListTable;
    CatalogSyncOptions m_options;
    Common::Duration m_storeCallTimeout;
    StoreReader m_reader;
    RelayServer m_server;
    RelayClient m_client;
    RelayList m_relayList;
    Common::TimePoint m_started;
    Common::TimePoint m_relayListReadAt;
    Common::TimePoint m_relayedSince; // when m_relayed last changed, or when the relay list was last found to be changing
    Common::TimePoint m_relayListChangedAt; // when a relay list was last adopted or written
    Common::TimePoint m_gatewayCountAt;
    Net::EventLoop::TimerId m_crashReportTimer = 0;
    Net::EventLoop::TimerId m_allowanceTimer = 0;
    std::vector<Decisions::CrashReport> m_storedCrashReports; // as far as this gateway has read or written them
    std::uint64_t m_crashReportsVersion = 0; // of their row; 0: there is none
    Common::TimePoint m_crashReportsWrittenAt;
    Common::Duration m_relayTimeout {}; // without a response for this long, the relay counts as silent
    Common::TimePoint m_freshSince; // when this gateway's reader first had both tables; the epoch while it has not
    std::vector<std::string> m_otherPreferredCandidates; // control addresses of those in the own failure domain
    std::vector<std::string> m_otherReserveCandidates; // the same for reserve candidates
    bool m_isPreferredCandidate = false;
    bool m_isReserveCandidate = false;
    double m_jitter = 0; // uniform in [0, 1)
    int m_gatewayCount = 0;
    bool m_relayed = false; // a relay with a recent catalog answers
    bool m_relayListCallPending = false;
    bool m_relayListWasRead = false; // and had not changed, since this gateway last changed or lost its relay
    bool m_leaving = false;
    std::uint64_t m_relayListCalls = 0;
};

}
