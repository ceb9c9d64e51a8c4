#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Decisions/AttemptOutcome.h"
#include "Records/ServiceRecord.h"

namespace Decisions {

// A backend server as membership knows it.
struct ServerSpec {
    std::string address; // ip:port
    std::string failureDomain;
    bool leaving = false;
};

// What a server's answer said of its own load.
struct LoadReport {
    int inFlight = 0;
    int slots = 0;
    bool draining = false;
};

struct PoolOptions {
    Records::Policy policy = Records::Policy::Adaptive;
    int slots = 4;
};

// A choice made; finish() must be called with it once.
struct Ticket {
    std::uint64_t number = 0;
    std::string address;
    Common::TimePoint chosenAt;
};

// How one attempt went, for learning.
struct AttemptReport {
    AttemptEnd end;
    std::optional<LoadReport> load;
};

// A server's state for status and tests.
struct ServerView {
    std::string address;
    std::string failureDomain;
    int inFlight = 0; // this entry's own
    bool takesWork = true;
};

// The backend servers of one service as one entry sees them, and the choice among them. Not thread-safe: the owner locks.
class ServerPool {
public:
    ServerPool(PoolOptions, Common::Hooks);

    void setOptions(const PoolOptions&);
    // Replaces the set of servers; what is known of those that stay is kept.
    void setServers(std::span<const ServerSpec>);

    // The server for one attempt, never one of `exclude`; nothing when none can take work.
    std::optional<Ticket> choose(std::span<const std::string> exclude);
    void finish(const Ticket&, const AttemptReport&);

    std::vector<ServerView> view() const;

private:
    struct Server {
        ServerSpec spec;
        int inFlight = 0;
        bool draining = false;
    };

    std::optional<std::size_t> pick(std::span<const std::string> exclude);
    bool takesWork(const Server&) const;
    Server* find(const std::string& address);

    PoolOptions m_options;
    Common::Hooks m_hooks;
    std::vector<Server> m_servers;
    std::uint64_t m_lastTicket = 0;
};

}
