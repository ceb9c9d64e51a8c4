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

// Numbered log events. docs/EVENTS.md is generated from the table; a test compares both.
enum class EventId : int {
    EntryStarted = 1000,
    EntryLeaving = 1001,
    EntryStopped = 1002,
    EntryStopForced = 1003,
    ListenFailed = 1004,
    SettingsReloaded = 1005,
    SettingsRejected = 1006,
    UnexpectedError = 1007,
    AcceptFailed = 1008,
    MemoryShort = 1009,
    MemoryFree = 1010,
    NotReady = 1011,
    Ready = 1012,
    CallFailed = 2000,
    CallAttempt = 2001,
    CallAnswered = 2002,
    CallClaimed = 2003,
    CallDuplicate = 2004,
    CallRetried = 2005,
    CallRefused = 2006,
    CallAbandoned = 2007,
    CallBlocked = 2008,
    CallForwarded = 2009,
    CallMalformed = 2010,
    CallUnauthorized = 2011,
    CallLimited = 2012,
    RecordApplied = 3000,
    RecordNotUnderstood = 3001,
    RecordRejected = 3002,
    StoreUnreachable = 3003,
    StoreReachable = 3004,
    SnapshotWritten = 3005,
    ConfigurationApplied = 3006,
    ConfigurationRejected = 3007,
    RegistryRowRejected = 3008,
    RouteKindUnknown = 3009,
    StoreEraChanged = 3010,
    StoreEraRejected = 3011,
    ConfigurationOutdated = 3012,
    ConfigurationConfirmed = 3013,
    ConfigurationIncomplete = 3014,
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
    RelayOutdated = 4010,
    ServerAdded = 5000,
    ServerRemoved = 5001,
    ServerEjected = 5002,
    ServerReturned = 5003,
    ServerDraining = 5004,
    ServerConnectionsSuspect = 5005,
    ServerMisdirected = 5006,
    ServerUnreachable = 5007,
    ServerLeaving = 5008,
    ServerPaused = 5009,
    ServerLimited = 5010,
    ServerLimitEnded = 5011,
    ServerCrashed = 5012,
    ServersUnreachable = 5013,
    ServersReachable = 5014,
    ServerMalformed = 5015,
    DomainEvacuated = 5016,
    DomainRestored = 5017,
    DomainUnknown = 5018,
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

// All events by ascending id.
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
    std::uint64_t clock = 0; // hybrid logical clock: sorting by it gives a causal order across processes
    std::int64_t wallMs = 0;
    EventId id = EventId::EntryStarted;
    std::vector<EventField> fields;
};

enum class LogFormat {
    Text,
    Json,
    Off, // no log lines; events are kept in memory only
};

struct EventLogOptions {
    std::string process; // written on every line: the name or address of this instance
    LogFormat format = LogFormat::Text;
    std::size_t ringSize = 2048; // events of log() kept in memory for the timeline; beyond that the oldest is dropped
    std::size_t traceRingSize = 4096; // events of trace() kept in memory, in a separate ring so that they do not evict those of log()
    std::function<void(const std::string& line)> sink = {}; // receives each log line; empty: standard error
    int linesPerSecond = 0; // limit per event id; lines beyond it are dropped and counted in the next line of that event; 0: no limit
};

// Writes one log line per event and keeps the latest events in bounded ring buffers for the timeline. Thread-safe.
class EventLog {
public:
    explicit EventLog(EventLogOptions);

    // Records an event in the ring and writes a log line, unless the format is Off or the rate limit is reached.
    void log(EventId, std::vector<EventField>);
    // Records a frequent per-request event in the trace ring only: these would flood the log.
    void trace(EventId, std::vector<EventField>);

    // At most `limit` events whose sequence number is greater than `sequence`, oldest first.
    std::vector<Event> since(std::uint64_t sequence, std::size_t limit = std::numeric_limits<std::size_t>::max()) const;
    HybridClock& clock() { return m_clock; }
    const std::string& process() const { return m_options.process; }

private:
    struct Ring {
        std::size_t size = 0;
        std::deque<Event> events {};
    };

    // Rate limit state of one event id.
    struct Quota {
        std::int64_t second = 0;
        int lines = 0;
        int suppressed = 0;
    };

    Event record(Ring&, EventId, std::vector<EventField>);
    // Whether the rate limit allows one more line of this event. If so, adds the number of lines dropped since the last one as a field.
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
