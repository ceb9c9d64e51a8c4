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

struct NewsControllerOptions {
    std::string rosterTable = "gateway"; // of our own in the store
    std::string rosterKey = "relays";
    std::vector<std::string> seeds; // control addresses, may be stale
    std::string newsTarget = "/v1/news";
    StoreReaderOptions reader;
    Decisions::RelayElectionOptions duty;
    Common::Duration applyTime = std::chrono::seconds(2); // in which a change has to be in force everywhere (the operators' bound)
    Common::Duration minFollowerAge = std::chrono::milliseconds(1300);
    bool bootstrap = false; // the whole fleet starts for the first time
};

// Keeps the catalog and the list of members fresh: follows a relay, reads the store where that is this entry's duty or no
// relay has fresh news, and sees to it that there is a relay.
class NewsController {
public:
    NewsController(Net::EventLoop&, Common::EventLog&, Catalog&, Members&, Platform::AsyncTable readTable, Platform::AsyncTable rosterTable, NewsControllerOptions);

    void start();
    // This entry is about to stop: others are told to follow another relay.
    void leave();
    // Members or serving state of this entry changed.
    void onSelfChanged();
    void serve(const std::shared_ptr<Net::Exchange>& exchange) { m_server.serve(exchange); }

    const StoreReader& reader() const { return m_reader; }
    const Roster& roster() const { return m_roster; }
    std::uint64_t rosterCalls() const { return m_rosterCalls; }
    // The largest number of entries seen lately, for shares of budgets.
    int entries() const { return m_entries; }

private:
    void tick();
    void review();
    void stopReading();
    void trackRelay();
    void countEntries();
    Decisions::RelayRole role() const;
    bool relays() const;
    Decisions::RelayElectionInputs facts() const;
    void follow();
    void adopt(const Roster&);
    void readRoster();
    void takeLead();
    void appointStandby();
    void writeRoster(const std::vector<std::string>& relays);
    void onRosterWritten(const std::vector<std::string>& relays, const Platform::CommitResult&);

    Net::EventLoop& m_loop;
    Common::EventLog& m_log;
    Catalog& m_catalog;
    Members& m_members;
    Platform::AsyncTable m_rosterTable;
    NewsControllerOptions m_options;
    StoreReader m_reader;
    RelayServer m_server;
    RelayClient m_client;
    Roster m_roster;
    Common::TimePoint m_started;
    Common::TimePoint m_rosterReadAt;
    Common::TimePoint m_relayedSince;
    Common::TimePoint m_standbySeen;
    Common::TimePoint m_entriesAt;
    Common::Duration m_relayPatience {}; // after which a relay counts as silent
    Common::TimePoint m_freshSince; // own reading has brought both tables; the epoch while it has not
    bool m_isDeputy = false;
    double m_jitter = 0;
    int m_entries = 0;
    bool m_relayed = false;
    bool m_rosterCall = false; // one is under way
    bool m_rosterWasRead = false; // since the last change of relays
    bool m_leaving = false;
    std::uint64_t m_rosterCalls = 0;
};

}
