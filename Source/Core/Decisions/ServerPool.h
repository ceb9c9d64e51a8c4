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
    std::string service = {}; // named in hints
    Records::Policy policy = Records::Policy::Adaptive;
    Records::Goal goal = Records::Goal::Latency;
    int slots = 4; // of a server that does not report them
    std::function<std::uint64_t()> incarnationClock = [] { return std::uint64_t(0); }; // wall clock in ms
};

// A choice made; finish() must be called with it once.
struct Ticket {
    std::uint64_t number = 0;
    std::string address;
    Common::TimePoint chosenAt;
};

// How one attempt went, for learning.
struct AttemptReport {
    AttemptEnd end = {};
    std::optional<LoadReport> load = {};
};

// What the pool decided by itself, for the event log.
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

// A server's state for status and tests.
struct ServerView {
    std::string address;
    std::string failureDomain;
    int inFlight = 0; // this entry's own
    bool takesWork = true;
    bool leaving = false;
    bool ejected = false;
    bool starting = false; // in slow start
    double answerMs = 0; // expected
};

// The backend servers of one service as one entry sees them, and the choice among them. Not thread-safe: the owner locks.
class ServerPool {
public:
    ServerPool(PoolOptions, Common::Hooks);

    void setOptions(const PoolOptions&);
    // Replaces the set of servers; what is known of those that stay is kept.
    void setServers(std::span<const ServerSpec>);

    // The server for one attempt, never one of `exclude` nor one that is leaving; an ejected one only where no other is
    // left. Nothing when none can take work.
    std::optional<Ticket> choose(std::span<const std::string> exclude);
    // Ends the ticket and learns. A ticket that is unknown or ended before is ignored.
    void finish(const Ticket&, const AttemptReport&);

    // The server whose probe is worth most now; nothing when traffic has told enough. The owner holds the budget and must
    // call finishProbe() once.
    std::optional<Ticket> beginProbe();
    void finishProbe(const Ticket&, const AttemptReport&);

    // What other entries found, and what this one has to tell them since the last call.
    void applyHint(const ServerHint&);
    std::vector<ServerHint> takeHints();
    std::vector<PoolEvent> takeEvents();

    std::vector<ServerView> view() const;

private:
    using Server = ServerState;
    using ReturnOrder = std::map<std::pair<Common::TimePoint, std::uint64_t>, Server*>;

    Server* find(const std::string& address);
    void add(const ServerSpec&, Common::TimePoint now, bool cold);
    void update(Server&, const ServerSpec&, Common::TimePoint now);
    void drop(Server&);
    void place(Server&); // in or out of the choice, as its state says

    Server* pick(std::span<Server* const> exclude, Common::TimePoint now);
    Server* lastResort(std::span<Server* const> exclude);

    void learnTime(Server&, const OpenRequest&, const AttemptEnd&, Common::TimePoint now);
    void learnHealth(Server&, HealthSign, Common::TimePoint now);
    void learnReport(Server&, const LoadReport&, Common::TimePoint sentAt, Common::TimePoint now);
    void sawDraining(Server&, Common::TimePoint now);

    void sweep(Common::TimePoint now);
    void renewUsual(const Server&, Common::TimePoint now);
    void checkSlowness(Server&, Common::TimePoint now);
    void eject(Server&, EjectionReason, Common::TimePoint now);
    void giveBack(Server&, Common::TimePoint now);
    void keepShare(Common::TimePoint now);

    std::uint64_t incarnationClock() const { return m_options.incarnationClock(); }
    void tell(PoolEventKind, const Server&, std::optional<EjectionReason> = {});
    void hint(HintKind, const Server&);

    PoolOptions m_options;
    Common::Hooks m_hooks;
    std::unordered_map<std::string, std::unique_ptr<Server>> m_servers;
    std::size_t m_present = 0;
    std::size_t m_leaving = 0; // of those present
    ServerChoice m_choice;
    ReturnOrder m_ejected;
    PoolUsual m_usual;
    bool m_usualKnown = false;
    std::size_t m_sweepCursor = 0;
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_lastId = 0;
    std::vector<ServerHint> m_hints;
    std::vector<PoolEvent> m_events;
};

}
