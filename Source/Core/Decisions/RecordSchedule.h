#pragma once

#include <cstdint>

#include "Common/Clock.h"

namespace Decisions {

struct RecordScheduleOptions {
    Common::Duration pollInterval = std::chrono::milliseconds(600); // of a reader: 2 in each of 10 domains stay below 40 reads a second
    Common::Duration idlePollInterval = std::chrono::seconds(60); // of all others, should every message be lost
    Common::Duration maxBackOff = std::chrono::seconds(2); // between polls of a store that does not answer
    Common::Duration pushGrace = std::chrono::milliseconds(200); // for a push under way before a newer head is fetched
    Common::Duration storeGrace = std::chrono::milliseconds(500); // before the store is asked where a peer did not help
};

enum class RecordAction {
    Poll, // the store
    Fetch, // from a peer
};

struct RecordTask {
    RecordAction action = RecordAction::Poll;
    Common::TimePoint at;
};

// When an entry asks whom for newer records.
class RecordSchedule {
public:
    RecordSchedule(RecordScheduleOptions, Common::Hooks);

    RecordTask next(bool reader, std::uint64_t held) const;
    // Another entry holds this revision.
    void headSeen(std::uint64_t revision, std::uint64_t held);
    void pollStarted() { m_wantedBeforePoll = m_wanted; }
    // `head`: the store's, once it answered.
    void polled(bool answered, std::uint64_t head);
    void fetched(bool helped);

private:
    // Between half of and one and a half times the duration, so that entries do not ask in step.
    Common::Duration jittered(Common::Duration) const;

    RecordScheduleOptions m_options;
    Common::Hooks m_hooks;
    Common::TimePoint m_readerPoll; // when a reader polls next
    Common::TimePoint m_idlePoll;
    int m_failures = 0; // of the store, in a row
    std::uint64_t m_wanted = 0;
    std::uint64_t m_wantedBeforePoll = 0;
    Common::TimePoint m_wantedAt;
    RecordAction m_wantedFrom = RecordAction::Fetch;
};

}
