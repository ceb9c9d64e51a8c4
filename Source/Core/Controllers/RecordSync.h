#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "Controllers/RecordController.h"
#include "Decisions/RecordSchedule.h"
#include "Platform/Platform.h"

namespace Controllers {

// How records reach and leave this entry beside the store. Without members, everyone reads the store for itself.
struct RecordPeers {
    std::function<bool()> isReader = [] { return true; };
    // What one peer that is ready has beyond `since`, another peer each time. Error: PeerUnreachable.
    std::function<Common::Result<Records::RecordUpdate>(std::uint64_t since)> fetch;
    // Sends news from the store to all live entries; must not wait for them.
    std::function<void(const Records::RecordUpdate&)> push;
};

struct RecordSyncOptions {
    Common::Hooks hooks = Common::systemHooks();
    Decisions::RecordScheduleOptions schedule;
    Common::Duration startLimit = std::chrono::seconds(10); // then an entry that only has the snapshot object is ready too
    Common::Duration startInterval = std::chrono::milliseconds(500); // between rounds while nobody answers
    int startPeers = 3; // asked in a round
    Common::Duration snapshotInterval = std::chrono::seconds(30); // between looks at the snapshot object, of a reader
};

// Keeps the records of this entry up to date: polls the store, fetches from peers, passes news on, renews the snapshot
// object for cold starts. It runs on a thread of its own, so that a slow store delays nothing else.
class RecordSync {
public:
    RecordSync(RecordSyncOptions, Platform::Services, RecordController&, Common::EventLog&);
    ~RecordSync();
    RecordSync(const RecordSync&) = delete;
    RecordSync& operator=(const RecordSync&) = delete;

    // Before start().
    void setPeers(RecordPeers);
    void start();
    void stop();

    // Does what is due; returns how long to wait for the next. For the thread and for tests in virtual time.
    Common::Duration step();
    // News pushed by a peer. Thread-safe.
    Decisions::ApplyResult take(const Records::RecordUpdate&);
    // A peer holds this revision. Thread-safe.
    void onHeadSeen(std::uint64_t revision);
    // Whether this entry has the newest records that anyone could tell: only then may it be offered to callers. Thread-safe.
    bool ready() const { return m_ready; }

private:
    void run();
    bool startRound();
    bool askPeers();
    bool poll();
    bool fetch();
    void noteStore(bool answered, const std::string& error);
    void renewSnapshot();
    void readSnapshot();

    RecordSyncOptions m_options;
    Platform::Services m_platform;
    RecordController& m_records;
    Common::EventLog& m_log;
    RecordPeers m_peers;
    Common::TimePoint m_startedAt;
    Common::TimePoint m_nextSnapshot;
    bool m_storeAnswers = true;
    std::atomic<bool> m_ready { false };

    std::mutex m_mutex; // guards all below
    Decisions::RecordSchedule m_schedule;
    std::condition_variable m_wake;
    bool m_news = false; // onHeadSeen() was called since the last step
    bool m_stopping = false;
    std::thread m_thread;
};

}
