#pragma once

#include <functional>
#include <string>

#include "Common/EventLog.h"
#include "Gateway/Catalog.h"
#include "Platform/AsyncTable.h"

namespace Gateway {

struct StoreReaderOptions {
    std::string registryTable;
    std::string operatorTable;
    // Interval between reads of the registry. It is polled: a long poll would end at once, since every heartbeat of a server
    // changes the table.
    Common::Duration registryInterval = std::chrono::milliseconds(600);
    // How long one call waits for a change of the configuration. With the time limit of a call, it bounds the time for which a
    // connection that has gone silent delays a change.
    Common::Duration operatorPollTimeout = std::chrono::seconds(1);
    // Pause between reads while the store does not answer; it doubles from the first to the longest.
    Common::Duration firstBackoff = std::chrono::milliseconds(200);
    Common::Duration maxBackoff = std::chrono::milliseconds(1500);
};

// While running, reads the store's registry and operator tables into the catalog.
class StoreReader {
public:
    StoreReader(Net::EventLoop&, Common::EventLog&, Catalog&, Platform::AsyncTable, StoreReaderOptions);

    void start();
    void stop();
    // Called after each read once both tables have been read since start().
    void onTablesRead(std::function<void()> handler) { m_tablesReadHandler = std::move(handler); }
    // The first and the longest pause between reads while the store does not answer.
    void setBackoff(Common::Duration first, Common::Duration longest);
    bool isRunning() const { return m_running; }
    // Age of the catalog when start() was called; zero if it was not complete.
    Common::Duration ageAtStart() const { return m_ageAtStart; }
    // Whether the last read of the registry was answered; true before the first.
    bool storeAnswers() const { return m_storeAnswers; }
    // When the store last answered again after a failure; the epoch if it never failed.
    Common::TimePoint reachableSince() const { return m_reachableSince; }
    std::uint64_t calls() const { return m_calls; }
    std::uint64_t failures() const { return m_failures; }

private:
    void readRegistry();
    void readOperators();
    // What a read was asked for.
    struct ReadRequest {
        bool isFull = false;
        std::uint64_t era = 0; // of the catalog when the read began
        Common::TimePoint startedAt;
        Common::TimePoint bootTime; // at startedAt
    };
    enum class EraCheck {
        Usable,
        Repeat, // the read continued from a version of another era: read in full
        Rejected, // the answer is of an older era
    };

    void onRegistryRead(const Platform::RowsRead&, const ReadRequest&);
    void onOperatorsRead(const Platform::RowsRead&, const ReadRequest&);
    void onRegistryUnavailable(const std::string& error);
    EraCheck checkEra(const Platform::RowsRead&, const ReadRequest&);
    ReadRequest readRequest(std::uint64_t position, bool reread) const;
    void onStoreResult(bool answered, const std::string& error);
    void confirmFresh();
    void schedule(Net::EventLoop::TimerId&, Common::Duration, void (StoreReader::*)());

    Net::EventLoop& m_loop;
    Common::EventLog& m_log;
    Catalog& m_catalog;
    Platform::AsyncTable m_table;
    StoreReaderOptions m_options;
    Net::EventLoop::TimerId m_registryTimer = 0;
    Net::EventLoop::TimerId m_operatorTimer = 0;
    Common::Duration m_backoff;
    Common::Duration m_ageAtStart {};
    Common::TimePoint m_lastAnswer;
    Common::TimePoint m_reachableSince;
    Common::TimePoint m_registryAsOf; // start of the last successful read of the registry; the epoch: none since start()
    bool m_running = false;
    bool m_storeAnswers = true;
    bool m_rereadRegistry = false; // the store has discarded the changes since our position
    bool m_rereadOperators = false;
    bool m_operatorsRead = false; // since start()
    bool m_eraRejected = false; // the last answer was of an older era
    std::function<void()> m_tablesReadHandler;
    std::uint64_t m_calls = 0;
    std::uint64_t m_failures = 0;
};

}
