#pragma once

#include <cstdint>

#include "Common/Clock.h"

namespace Decisions {

struct RecordScheduleOptions {
    // Of a reader: 2 readers in each of 10 failure domains stay below 40 reads per second.
    Common::Duration pollInterval = std::chrono::milliseconds(600);
    // Of all other entries, in case every gossip message is lost.
    Common::Duration idlePollInterval = std::chrono::seconds(60);
    // Longest interval between polls of a store that does not answer.
    Common::Duration maxBackOff = std::chrono::seconds(2);
    // Wait for a push in transit before a newer revision is fetched from a peer.
    Common::Duration pushGrace = std::chrono::milliseconds(200);
    // Wait before the store is polled after a fetch from a peer brought nothing.
    Common::Duration storeGrace = std::chrono::milliseconds(500);
};

enum class RecordAction {
    Poll, // read the store
    Fetch, // read from a peer
};

struct RecordTask {
    RecordAction action = RecordAction::Poll;
    Common::TimePoint at;
};

// When an entry next looks for newer records, and whether in the store or at a peer.
class RecordSchedule {
public:
    RecordSchedule(RecordScheduleOptions, Common::Hooks);

    // `held`: the latest revision that this entry holds.
    RecordTask next(bool reader, std::uint64_t held) const;
    // Another entry announced that it holds `revision`.
    void headAnnounced(std::uint64_t revision, std::uint64_t held);
    void pollStarted() { m_targetBeforePoll = m_targetRevision; }
    // `head`: the store's latest revision, if it answered.
    void pollFinished(bool answered, std::uint64_t head);
    // `helped`: the peer had newer records.
    void fetchFinished(bool helped);

private:
    // Uniform between 0.5 and 1.5 times the duration, so that entries do not poll at the same moments.
    Common::Duration jittered(Common::Duration) const;

    RecordScheduleOptions m_options;
    Common::Hooks m_hooks;
    Common::TimePoint m_readerPoll; // when a reader polls next
    Common::TimePoint m_idlePoll;
    int m_consecutiveFailures = 0; // of the store
    std::uint64_t m_targetRevision = 0; // the highest announced
    std::uint64_t m_targetBeforePoll = 0;
    Common::TimePoint m_targetAt;
    RecordAction m_targetAction = RecordAction::Fetch;
};

}
