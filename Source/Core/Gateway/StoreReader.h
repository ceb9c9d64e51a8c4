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
    // Between looks at the registry. Every heartbeat of a server is a change there, so waiting for the next one would end at once.
    Common::Duration registryInterval = std::chrono::milliseconds(600);
    // How long one call waits for a change of the configuration: a connection that has gone silent costs so much at most.
    Common::Duration operatorWait = std::chrono::seconds(2);
    Common::Duration firstBackoff = std::chrono::milliseconds(200);
    Common::Duration maxBackoff = std::chrono::milliseconds(1500);
};

// Reads the store's two tables into the catalog while it is switched on.
class StoreReader {
public:
    StoreReader(Net::EventLoop&, Common::EventLog&, Catalog&, Platform::AsyncTable, StoreReaderOptions);

    void start();
    void stop();
    // Called each time that both tables have been looked at.
    void onConfirmed(std::function<void()> hook) { m_confirmed = std::move(hook); }
    // First and longest pause between tries while the store does not answer.
    void setBackoff(Common::Duration first, Common::Duration longest);
    bool isRunning() const { return m_running; }
    // The last look at the registry was answered.
    bool storeAnswers() const { return m_answers; }
    // When the store answered again after it did not; the epoch where it never failed.
    Common::TimePoint backSince() const { return m_backSince; }
    std::uint64_t calls() const { return m_calls; }
    std::uint64_t failures() const { return m_failures; }

private:
    void readRegistry();
    void readOperators();
    void onRegistry(const Platform::RowsRead&, bool whole, Common::TimePoint begun);
    void onOperators(const Platform::RowsRead&, bool whole);
    void noteAnswer(bool answered, const std::string& error);
    void confirm();
    void later(Net::EventLoop::TimerId&, Common::Duration, void (StoreReader::*)());

    Net::EventLoop& m_loop;
    Common::EventLog& m_log;
    Catalog& m_catalog;
    Platform::AsyncTable m_table;
    StoreReaderOptions m_options;
    Net::EventLoop::TimerId m_registryTimer = 0;
    Net::EventLoop::TimerId m_operatorTimer = 0;
    Common::Duration m_backoff;
    Common::TimePoint m_lastAnswer;
    Common::TimePoint m_backSince;
    Common::TimePoint m_registryAsOf; // of the newest look at the registry
    bool m_running = false;
    bool m_answers = true;
    bool m_rereadRegistry = false;
    bool m_rereadOperators = false;
    bool m_sawOperators = false; // since the last start
    std::function<void()> m_confirmed;
    std::uint64_t m_calls = 0;
    std::uint64_t m_failures = 0;
};

}
