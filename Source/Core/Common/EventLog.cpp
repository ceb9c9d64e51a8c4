#include "Common/EventLog.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <fmt/format.h>
#include <json/json.h>

#include "Common/Clock.h"
#include "Common/JsonText.h"
#include "Common/NameTable.h"

namespace Common {

namespace {

    using enum EventId;

    constexpr std::array eventRows {
        EventRow { EntryStarted, "entry-started", Severity::Info, "The entry started to serve callers." },
        EventRow { EntryLeaving, "entry-leaving", Severity::Info, "Graceful shutdown began; the directory no longer lists this entry." },
        EventRow { EntryStopped, "entry-stopped", Severity::Info, "The entry ended with nothing in flight." },
        EventRow { EntryStopForced, "entry-stop-forced", Severity::Error, "The entry ended with calls in flight: second signal or time limit." },
        EventRow { ListenFailed, "listen-failed", Severity::Error, "An address could not be bound." },
        EventRow { SettingsReloaded, "settings-reloaded", Severity::Info, "The settings file was read again." },
        EventRow { SettingsRejected, "settings-rejected", Severity::Error, "The settings file has errors; the old settings stay in force." },
        EventRow { UnexpectedError, "unexpected-error", Severity::Error, "A handler failed with an error that it does not expect; what it worked on is given up, the process goes on." },
        EventRow { AcceptFailed, "accept-failed", Severity::Warning, "A connection could not be accepted, mostly for lack of file descriptors; accepting goes on after a short pause." },
        EventRow { MemoryShort, "memory-short", Severity::Warning, "Requests and responses under way take half of the memory allowed for them; requests with long bodies are refused." },
        EventRow { MemoryFree, "memory-free", Severity::Info, "Requests with long bodies are taken again." },
        EventRow { NotReady, "not-ready", Severity::Warning, "The entry does not take requests; the fields tell why." },
        EventRow { Ready, "ready", Severity::Info, "The entry takes requests." },
        EventRow { CallFailed, "call-failed", Severity::Warning, "A call ended without a backend server's answer." },
        EventRow { CallAttempt, "call-attempt", Severity::Info, "A request was sent to a backend server." },
        EventRow { CallAnswered, "call-answered", Severity::Info, "A call ended with a backend server's answer." },
        EventRow { CallClaimed, "call-claimed", Severity::Info, "A claim row was written for a request." },
        EventRow { CallDuplicate, "call-duplicate", Severity::Warning, "A second request with the same Idempotency-Key was joined or refused." },
        EventRow { CallRetried, "call-retried", Severity::Info, "A request is sent to another server, or a second time while the first is late." },
        EventRow { CallRefused, "call-refused", Severity::Warning, "A call was refused as not run." },
        EventRow { CallAbandoned, "call-abandoned", Severity::Info, "The caller closed the connection before the answer; the call was cancelled." },
        EventRow { CallBlocked, "call-blocked", Severity::Error, "Several backend servers ended under the same request; it is refused from now on." },
        EventRow { CallForwarded, "call-forwarded", Severity::Info, "A request is handed to another entry, since no server of its service answers this one, or its configuration is too old to tell whether the API key is valid." },
        EventRow { CallMalformed, "call-malformed", Severity::Info, "A caller sent a request that is no valid HTTP/1.1 message; it is answered with 400." },
        EventRow { CallUnauthorized, "call-unauthorized", Severity::Info, "A request without a valid API key; it is answered with 401." },
        EventRow { CallLimited, "call-limited", Severity::Info, "A request beyond its organisation's allowance; it is answered with 429." },
        EventRow { RecordApplied, "record-applied", Severity::Info, "A record of a newer revision is in force." },
        EventRow { RecordNotUnderstood, "record-not-understood", Severity::Warning, "A record holds no form that this entry supports; the old one stays in force." },
        EventRow { RecordRejected, "record-rejected", Severity::Error, "A stored record could not be read; the old one stays in force." },
        EventRow { StoreUnreachable, "store-unreachable", Severity::Warning, "The platform's store does not answer; the entry continues with its last known data." },
        EventRow { StoreReachable, "store-reachable", Severity::Info, "The platform's store answers again." },
        EventRow { SnapshotWritten, "snapshot-written", Severity::Info, "The snapshot object for cold starts was renewed." },
        EventRow { ConfigurationApplied, "configuration-applied", Severity::Info, "A newer configuration is in force." },
        EventRow { ConfigurationRejected, "configuration-rejected", Severity::Error, "A stored configuration could not be read; the old one stays in force." },
        EventRow { RegistryRowRejected, "registry-row-rejected", Severity::Warning, "A row of the server registry could not be parsed; no server is taken from it." },
        EventRow { RouteKindUnknown, "route-kind-unknown", Severity::Warning, "A route has a kind that this version does not know; its requests are never repeated." },
        EventRow { StoreEraChanged, "store-era-changed", Severity::Warning, "The store came back from an older copy of its data; the tables are read in full." },
        EventRow { StoreEraRejected, "store-era-rejected", Severity::Warning, "An answer of the store names no valid era or an older one; the answer is not used." },
        EventRow { ConfigurationOutdated, "configuration-outdated", Severity::Error, "The configuration was not confirmed for so long that API keys in it may have been revoked; requests that need one are handed to other entries, or refused." },
        EventRow { ConfigurationConfirmed, "configuration-confirmed", Severity::Info, "The configuration is confirmed again; requests with API keys are served." },
        EventRow { ConfigurationIncomplete, "configuration-incomplete", Severity::Error, "A part of the configuration in force can't be used and is left out." },
        EventRow { MemberJoined, "member-joined", Severity::Info, "An entry instance joined or came back." },
        EventRow { MemberSuspected, "member-suspected", Severity::Warning, "An entry instance missed its heartbeats." },
        EventRow { MemberFailed, "member-failed", Severity::Warning, "A suspected entry instance was removed." },
        EventRow { MemberLeft, "member-left", Severity::Info, "An entry instance left on purpose." },
        EventRow { PeerMessageRefused, "peer-message-refused", Severity::Warning, "A message between entries was malformed, unsigned or replayed." },
        EventRow { RelayFollowed, "relay-followed", Severity::Info, "Updates of the store are received from another entry." },
        EventRow { RelayLost, "relay-lost", Severity::Warning, "The entry that relayed the store's updates no longer does." },
        EventRow { RelayStarted, "relay-started", Severity::Info, "This entry started to read the store directly." },
        EventRow { RelayStopped, "relay-stopped", Severity::Info, "This entry stopped reading the store directly." },
        EventRow { RosterAdopted, "roster-adopted", Severity::Info, "A new relay list is in force; its first entry is the leader." },
        EventRow { RelayOutdated, "relay-outdated", Severity::Warning, "The followed entry answers, but without recent data of the store." },
        EventRow { ServerAdded, "server-added", Severity::Info, "A backend server joined a service's pool." },
        EventRow { ServerRemoved, "server-removed", Severity::Info, "A backend server left a service's pool." },
        EventRow { ServerEjected, "server-ejected", Severity::Warning, "A backend server is ejected: it gets no requests for a limited time." },
        EventRow { ServerReturned, "server-returned", Severity::Info, "An ejected backend server gets requests again, by slow start." },
        EventRow { ServerDraining, "server-draining", Severity::Info, "A backend server is draining and gets no new requests." },
        EventRow { ServerConnectionsSuspect, "server-connections-suspect", Severity::Warning, "Connections to a backend server stopped responding; all older ones are replaced." },
        EventRow { ServerMisdirected, "server-misdirected", Severity::Warning, "A different server answers at the address; the address is no longer used." },
        EventRow { ServerUnreachable, "server-unreachable", Severity::Warning, "A backend server could not be reached or did not answer." },
        EventRow { ServerLeaving, "server-leaving", Severity::Info, "A backend server said in an answer that it is leaving; it gets no new requests." },
        EventRow { ServerPaused, "server-paused", Severity::Info, "A backend server rejected a request and asked for a pause; it gets no requests and no load probes until its end." },
        EventRow { ServerLimited, "server-limited", Severity::Info, "A backend server named the requests a second that it takes from all entries together, or another number than before." },
        EventRow { ServerLimitEnded, "server-limit-ended", Severity::Info, "A backend server names no limit any more." },
        EventRow { ServerCrashed, "server-crashed", Severity::Warning, "A backend server ended while it ran a request." },
        EventRow { ServersUnreachable, "servers-unreachable", Severity::Warning, "No backend server of a service answers this entry, or none over a new connection; other entries may still reach them." },
        EventRow { ServersReachable, "servers-reachable", Severity::Info, "A backend server of a service answers this entry again." },
        EventRow { ServerMalformed, "server-malformed", Severity::Warning, "A backend server or another entry sent a response that is no valid HTTP/1.1 message; it is not passed on." },
        EventRow { DomainEvacuated, "domain-evacuated", Severity::Warning, "The operators evacuate a failure domain: its backend servers get nothing new." },
        EventRow { DomainRestored, "domain-restored", Severity::Info, "The evacuation of a failure domain has ended: its backend servers are used again." },
        EventRow { DomainUnknown, "domain-unknown", Severity::Warning, "The operators evacuate a failure domain in which no backend server is known; that has no effect." },
    };

    constexpr std::array severityNames {
        EnumName<Severity> { Severity::Info, "info" },
        EnumName<Severity> { Severity::Warning, "warning" },
        EnumName<Severity> { Severity::Error, "error" },
    };

    std::string textLine(const std::string& process, const Event& event)
    {
        const auto& row = eventRow(event.id);
        auto line = fmt::format("{} {} {} {} {}", event.wallMs, process, severityName(row.severity), static_cast<int>(row.id), row.name);
        for (const auto& field : event.fields)
            line += fmt::format(" {}={}", field.key, Json::valueToQuotedString(field.value.c_str()));
        return line;
    }

    std::string jsonLine(const std::string& process, const Event& event)
    {
        const auto& row = eventRow(event.id);
        Json::Value json;
        json["time_ms"] = Json::Int64(event.wallMs);
        json["process"] = process;
        json["severity"] = std::string(severityName(row.severity));
        json["event"] = static_cast<int>(row.id);
        json["name"] = std::string(row.name);
        for (const auto& field : event.fields)
            json["fields"][field.key] = field.value;
        return Common::jsonText(json);
    }

}

std::span<const EventRow> eventTable()
{
    return eventRows;
}

const EventRow& eventRow(EventId id)
{
    auto it = std::find_if(eventRows.begin(), eventRows.end(), [&](const auto& row) { return row.id == id; });
    return it == eventRows.end() ? eventRows.front() : *it;
}

std::string_view severityName(Severity severity)
{
    return nameOf(severityNames, severity);
}

EventLog::EventLog(EventLogOptions options)
    : m_options(std::move(options))
    , m_clock(wallMilliseconds)
    , m_ring { .size = m_options.ringSize }
    , m_traceRing { .size = m_options.traceRingSize }
{
}

void EventLog::log(EventId id, std::vector<EventField> fields)
{
    auto event = record(m_ring, id, std::move(fields));
    if (m_options.format == LogFormat::Off)
        return;
    if (m_options.linesPerSecond > 0 && !allowLine(event))
        return;
    auto line = m_options.format == LogFormat::Json ? jsonLine(m_options.process, event) : textLine(m_options.process, event);
    if (m_options.sink)
        return m_options.sink(line);
    // One write per line, so that lines of different threads do not interleave.
    fmt::print(stderr, "{}\n", line);
}

bool EventLog::allowLine(Event& event)
{
    constexpr int msPerSecond = 1000;
    std::lock_guard lock(m_mutex);
    auto& quota = m_quotas[event.id];
    auto second = event.wallMs / msPerSecond;
    if (quota.second != second) {
        quota.second = second;
        quota.lines = 0;
    }
    if (quota.lines >= m_options.linesPerSecond) {
        ++quota.suppressed;
        return false;
    }
    ++quota.lines;
    if (quota.suppressed > 0)
        event.fields.push_back({ "suppressed", std::to_string(quota.suppressed) });
    quota.suppressed = 0;
    return true;
}

void EventLog::trace(EventId id, std::vector<EventField> fields)
{
    record(m_traceRing, id, std::move(fields));
}

std::vector<Event> EventLog::since(std::uint64_t sequence, std::size_t limit) const
{
    std::lock_guard lock(m_mutex);
    auto isBefore = [](std::uint64_t bound, const Event& event) { return bound < event.sequence; };
    auto it = std::upper_bound(m_ring.events.begin(), m_ring.events.end(), sequence, isBefore);
    auto trace = std::upper_bound(m_traceRing.events.begin(), m_traceRing.events.end(), sequence, isBefore);
    std::vector<Event> events;
    while (events.size() < limit && (it != m_ring.events.end() || trace != m_traceRing.events.end())) {
        auto takeTrace = it == m_ring.events.end() || (trace != m_traceRing.events.end() && trace->sequence < it->sequence);
        events.push_back(takeTrace ? *trace++ : *it++);
    }
    return events;
}

Event EventLog::record(Ring& ring, EventId id, std::vector<EventField> fields)
{
    Event event { .wallMs = wallMilliseconds(), .id = id, .fields = std::move(fields) };
    std::lock_guard lock(m_mutex);
    event.sequence = ++m_lastSequence;
    event.clock = m_clock.tick();
    ring.events.push_back(event);
    if (ring.events.size() > ring.size)
        ring.events.pop_front();
    return event;
}

}
