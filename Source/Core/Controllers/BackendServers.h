#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <vector>

#include "Backends/ConnectionPool.h"
#include "Common/Clock.h"
#include "Common/EventLog.h"
#include "Common/Snapshot.h"
#include "Decisions/CarrierShare.h"
#include "Decisions/ProbeBudget.h"
#include "Decisions/ServerHint.h"
#include "Decisions/ServerPool.h"
#include "Platform/Platform.h"
#include "Records/ServiceRecord.h"

namespace Controllers {

struct BackendServersOptions {
    Common::Hooks hooks;
    std::size_t answerBytes = 8 * 1024 * 1024;
    // This entry's part in a service; called often, must not block.
    std::function<Decisions::CarrierShare(const std::string& service)> share = [](const auto&) { return Decisions::CarrierShare {}; };
    // Tells the other entries what this one found; must not block.
    std::function<void(const Decisions::ServerHint&)> publishHint = [](const auto&) {};
};

// One attempt's hold on a backend server and, where one was free, a connection to it.
struct AttemptHold {
    Decisions::Ticket ticket;
    Backends::ConnectionPool::Lease connection;
    std::shared_ptr<Backends::ConnectionPool> pool = {}; // where the connection belongs
};

// A probe to be sent.
struct ProbeOrder {
    std::string service;
    AttemptHold hold;
};

// State of all backend servers, in one shard a service, each under its own lock. Thread-safe.
class BackendServers {
public:
    BackendServers(BackendServersOptions, Common::EventLog&);

    // Brings pools in line with the records and the instance list, and connection limits with this entry's shares.
    void apply(const Records::RecordSet&, std::span<const Platform::Instance>);

    // Chooses a server and takes a connection, a kept one only if heard from within `freshness`. The connection is empty
    // where several servers in turn had none free. Errors: UnknownService, NoServer.
    Common::Result<AttemptHold> begin(const std::string& service, std::span<const std::string> exclude, Common::Duration freshness = Common::Duration::max());
    // Returns the connection and learns from the attempt.
    void end(const std::string& service, AttemptHold, const Decisions::AttemptReport&);

    // The probes that are due and within the budgets; each must be given to endProbe() once.
    std::vector<ProbeOrder> beginProbes();
    void endProbe(ProbeOrder, const Decisions::AttemptReport&);

    // What another entry found of a backend server.
    void applyHint(const Decisions::ServerHint&);

    std::vector<Decisions::ServerView> view(const std::string& service) const;
    // Connections that this entry may open to each server of the service; 0 for an unknown service.
    int connectionLimit(const std::string& service) const;

private:
    using Connections = std::shared_ptr<Backends::ConnectionPool>;

    struct Shard {
        Shard(const Decisions::PoolOptions& options, const Common::Hooks& hooks)
            : pool(options, hooks)
            , budget(hooks.now(), Common::randomUnit(hooks))
        {
        }

        std::mutex mutex;
        Decisions::ServerPool pool;
        Decisions::ProbeBudget budget;
        double probesPerSecond = 0; // over all entries
        int connectionLimit = -1; // a server
        std::vector<Decisions::ServerSpec> specs;
        std::shared_ptr<const Records::ServiceRecord> record;
        std::map<std::string, Connections, std::less<>> connections;
    };
    using Shards = std::map<std::string, std::shared_ptr<Shard>, std::less<>>;
    using Pools = std::map<std::string, std::vector<Decisions::ServerSpec>, std::less<>>;

    Common::Result<AttemptHold> choose(Shard&, const std::string& service, std::span<const std::string> exclude, Common::Duration freshness);
    void applyService(Shard&, const std::shared_ptr<const Records::ServiceRecord>&, const Pools&);
    void connect(Shard&, const Records::ServiceRecord&);
    Connections connectionsOf(Shard&, const std::string& server);
    // Logs and publishes what the pool found.
    void report(const std::string& service, Shard&);
    void logEvent(const std::string& service, const Decisions::PoolEvent&);
    std::shared_ptr<Shard> shard(const std::string& service) const;

    BackendServersOptions m_options;
    Common::EventLog& m_log;
    Common::Snapshot<Shards> m_shards;
};

}
