#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>

#include "Backends/ConnectionPool.h"
#include "Common/Clock.h"
#include "Common/EventLog.h"
#include "Common/Snapshot.h"
#include "Decisions/ServerPool.h"
#include "Platform/Platform.h"
#include "Records/ServiceRecord.h"

namespace Controllers {

struct BackendServersOptions {
    Common::Hooks hooks;
    std::size_t answerBytes = 8 * 1024 * 1024;
};

// One attempt's hold on a backend server and, where one was free, a connection to it.
struct AttemptHold {
    Decisions::Ticket ticket;
    Backends::ConnectionPool::Lease connection;
};

// State of all backend servers, in one shard a service, each under its own lock. Thread-safe.
class BackendServers {
public:
    BackendServers(BackendServersOptions, Common::EventLog&);

    // Brings pools in line with the records and the instance list.
    void apply(const Records::RecordSet&, std::span<const Platform::Instance>);

    // Chooses a server and takes a connection, a kept one only if heard from within `freshness`. Errors: UnknownService, NoServer.
    Common::Result<AttemptHold> begin(const std::string& service, std::span<const std::string> exclude, Common::Duration freshness = Common::Duration::max());
    // Returns the connection and learns from the attempt.
    void end(const std::string& service, AttemptHold, const Decisions::AttemptReport&);

    std::vector<Decisions::ServerView> view(const std::string& service) const;

private:
    struct Shard {
        Shard(const Decisions::PoolOptions& options, const Common::Hooks& hooks)
            : pool(options, hooks)
        {
        }

        std::mutex mutex;
        Decisions::ServerPool pool;
        std::map<std::string, std::shared_ptr<Backends::ConnectionPool>, std::less<>> connections;
    };
    using Shards = std::map<std::string, std::shared_ptr<Shard>, std::less<>>;

    void applyService(Shard&, const Records::ServiceRecord&, std::span<const Platform::Instance>);
    std::shared_ptr<Shard> shard(const std::string& service) const;

    BackendServersOptions m_options;
    Common::EventLog& m_log;
    Common::Snapshot<Shards> m_shards;
};

}
