#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Decisions/AttemptOutcome.h"
#include "Decisions/ServerChoice.h"
#include "Decisions/ServerHint.h"
#include "Decisions/ServerScore.h"
#include "Decisions/ServerState.h"
#include "Records/ServiceRecord.h"

namespace Decisions {

struct PoolOptions {
    std::string service = {}; // name given in hints
    Records::Policy policy = Records::Policy::Adaptive;
    Records::Goal goal = Records::Goal::Latency;
    int slots = 4; // of a server that does not report its own
    std::function<std::uint64_t()> incarnationClock = [] { return std::uint64_t(0); }; // wall clock in ms
};

// A server selected for an attempt or a load probe, which ends with one call of finish() or finishProbe().
struct Ticket {
    std::uint64_t number = 0;
    std::string address;
    Common::TimePoint chosenAt;
};

// Result of one attempt or load probe, from which the pool learns.
struct AttemptReport {
    AttemptEnd end = {};
    std::optional<LoadReport> load = {};
};

// State changes of servers, for the event log.
enum class PoolEventKind {
    Added,
    Removed,
    Ejected,
    Returned,
    Draining,
    Live,
};

struct PoolEvent {
    PoolEventKind kind = PoolEventKind::Added;
    std::string server;
    std::optional<EjectionReason> reason;
};

// Snapshot of a server's state, for the status page and tests.
struct ServerView {
    std::string address;
    std::string failureDomain;
    int inFlight = 0; // requests of this entry only
    bool eligible = true;
    bool leaving = false;
    bool ejected = false;
    bool inSlowStart = false;
    double expectedLatencyMs = 0; // without load
};

// The backend servers of one service as one entry sees them, and the selection among them. Not thread-safe: the owner locks.
class ServerPool {
public:
    ServerPool(PoolOptions, Common::Hooks);

    void setOptions(const PoolOptions&);
    // Replaces the set of servers. The state of those that remain is kept.
    void setServers(std::span<const ServerSpec>);

    // Selects the server for one attempt: never one of `exclude` nor one that is leaving, and an ejected one only where no
    // other is left. No value when there is no such server.
    std::optional<Ticket> choose(std::span<const std::string> exclude);
    // Ends the attempt and learns from its result. A ticket that is unknown or has already ended is ignored.
    void finish(const Ticket&, const AttemptReport&);

    // The server whose load probe is the most overdue; no value when none is due. The owner enforces the probe budget and must
    // call finishProbe() once.
    std::optional<Ticket> beginProbe();
    void finishProbe(const Ticket&, const AttemptReport&);

    // A hint from another entry.
    void applyHint(const ServerHint&);
    // Hints for the other entries, and events, since the last call.
    std::vector<ServerHint> takeHints();
    std::vector<PoolEvent> takeEvents();

    std::vector<ServerView> view() const;

private:
    using Server = ServerState;
    using ReturnOrder = std::map<std::pair<Common::TimePoint, std::uint64_t>, Server*>;

    Server* find(const std::string& address);
    void addServer(const ServerSpec&, Common::TimePoint now, bool cold);
    void updateServer(Server&, const ServerSpec&, Common::TimePoint now);
    void removeServer(Server&);
    void syncChoice(Server&); // adds it to or removes it from m_choice, to match its eligibility

    Server* pick(std::span<Server* const> exclude, Common::TimePoint now);
    Server* pickEjected(std::span<Server* const> exclude);

    void learnLatency(Server&, const OpenRequest&, const AttemptEnd&, Common::TimePoint now);
    void learnHealth(Server&, HealthSignal, Common::TimePoint now);
    void learnLoad(Server&, const LoadReport&, Common::TimePoint sentAt, Common::TimePoint now);
    void observeDraining(Server&, Common::TimePoint now);

    void runMaintenance(Common::TimePoint now);
    void updateBaseline(const Server&, Common::TimePoint now);
    void checkSlowness(Server&, Common::TimePoint now);
    void eject(Server&, EjectionReason, Common::TimePoint now);
    void readmit(Server&, Common::TimePoint now);
    void enforceEjectionLimit(Common::TimePoint now);

    std::uint64_t incarnationClock() const { return m_options.incarnationClock(); }
    void recordEvent(PoolEventKind, const Server&, std::optional<EjectionReason> = {});
    void queueHint(HintKind, const Server&);

    PoolOptions m_options;
    Common::Hooks m_hooks;
    std::unordered_map<std::string, std::unique_ptr<Server>> m_servers;
    std::size_t m_presentCount = 0;
    std::size_t m_leavingCount = 0; // among the present servers
    ServerChoice m_choice;
    ReturnOrder m_ejected; // by the end of the ejection
    PoolBaseline m_baseline;
    bool m_baselineKnown = false;
    std::size_t m_maintenanceCursor = 0; // position of the server that runMaintenance() checks next
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_lastId = 0;
    std::vector<ServerHint> m_hints;
    std::vector<PoolEvent> m_events;
};

}
