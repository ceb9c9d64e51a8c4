#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Common/HybridClock.h"

namespace Common {

// Numbered events; docs/EVENTS.md lists them and a test holds both together.
enum class EventId : int {
    EntryStarted = 1000,
    EntryLeaving = 1001,
    EntryStopped = 1002,
    EntryStopForced = 1003,
    ListenFailed = 1004,
    SettingsReloaded = 1005,
    SettingsRejected = 1006,
    CallFailed = 2000,
    CallAttempt = 2001,
    CallAnswered = 2002,
    CallClaimed = 2003,
    CallDuplicate = 2004,
    CallRetried = 2005,
    CallRefused = 2006,
    CallAbandoned = 2007,
    RecordApplied = 3000,
    RecordNotUnderstood = 3001,
    RecordRejected = 3002,
    StoreUnreachable = 3003,
    StoreReachable = 3004,
    SnapshotWritten = 3005,
    ConfigurationApplied = 3006,
    ConfigurationRejected = 3007,
    RegistryRowRejected = 3008,
    MemberJoined = 4000,
    MemberSuspected = 4001,
    MemberFailed = 4002,
    MemberLeft = 4003,
    PeerMessageRefused = 4004,
    RelayFollowed = 4005,
    RelayLost = 4006,
    RelayStarted = 4007,
    RelayStopped = 4008,
    RosterAdopted = 4009,
    ServerAdded = 5000,
    ServerRemoved = 5001,
    ServerEjected = 5002,
    ServerReturned = 5003,
    ServerDraining = 5004,
    ServerConnectionsSuspect = 5005,
    ServerMisdirected = 5006,
    ServerUnreachable = 5007,
};

enum class Severity {
    Info,
    Warning,
    Error,
};

struct EventRow {
    EventId id;
    std::string_view name;
    Severity severity;
    std::string_view meaning;
};

// All events in ascending order.
std::span<const EventRow> eventTable();
const EventRow& eventRow(EventId);
// "info", "warning", "error".
std::string_view severityName(Severity);

struct EventField {
    std::string key;
    std::string value;
};

struct Event {
    std::uint64_t sequence = 0; // per process, from 1
    std::uint64_t clock = 0; // hybrid logical clock: events sort by it in causal order over all processes
    std::int64_t wallMs = 0;
    EventId id = EventId::EntryStarted;
    std::vector<EventField> fields;
};

enum class LogFormat {
    Text,
    Json,
    Off, // ring only
};

struct EventLogOptions {
    std::string process; // who logs: the instance's address
    LogFormat format = LogFormat::Text;
    std::size_t ringSize = 2048; // control events kept for the time line
    std::size_t traceRingSize = 4096; // events of single calls kept; a ring of their own, so that calls push out no control event
    std::function<void(const std::string& line)> sink = {}; // where lines go; empty: standard error
    int linesPerSecond = 0; // of one event; what is beyond is counted in the next line of that event; 0: no bound
};

// One line a numbered event to a sink, and bounded rings of the latest for the time line.
class EventLog {
public:
    explicit EventLog(EventLogOptions);

    // To the ring and to the sink.
    void log(EventId, std::vector<EventField>);
    // To the ring only: events of single calls would flood the log.
    void trace(EventId, std::vector<EventField>);

    // Events with a greater sequence number, oldest first, at most `limit`.
    std::vector<Event> since(std::uint64_t sequence, std::size_t limit = std::numeric_limits<std::size_t>::max()) const;
    HybridClock& clock() { return m_clock; }
    const std::string& process() const { return m_options.process; }

private:
    struct Ring {
        std::size_t size = 0;
        std::deque<Event> events {};
    };

    // Lines of one event in the current second.
    struct Quota {
        std::int64_t second = 0;
        int lines = 0;
        int suppressed = 0;
    };

    Event remember(Ring&, EventId, std::vector<EventField>);
    // Whether one more line of this event may be written; adds the count of those left out before it.
    bool allowLine(Event&);

    EventLogOptions m_options;
    HybridClock m_clock;
    mutable std::mutex m_mutex;
    Ring m_ring;
    Ring m_traceRing;
    std::map<EventId, Quota> m_quotas;
    std::uint64_t m_lastSequence = 0;
};

}
