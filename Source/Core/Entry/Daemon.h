#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include "Controllers/BackendServers.h"
#include "Controllers/Probes.h"
#include "Controllers/RecordController.h"
#include "Controllers/RecordSync.h"
#include "Decisions/Shutdown.h"
#include "Entry/CallerConnection.h"
#include "Entry/PeerLink.h"
#include "Platform/Platform.h"
#include "Requests/RequestPath.h"
#include "Settings/EntrySettings.h"

namespace Entry {

// What one entry instance runs. All state is in memory and may be lost at any time.
class Daemon {
public:
    Daemon(Settings::EntrySettings, Platform::Services, Common::Hooks);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    // Binds and serves. Error: Internal where the address cannot be bound.
    Common::Result<void> start();
    // Graceful shutdown: out of the directory, serve what still comes, finish what is in flight, end. Returns whether nothing was cut.
    bool stop();
    // Ends a stop() under way without waiting any longer. Thread-safe.
    void forceStop();
    // Ends at once, as a crash would: connections are cut, nobody is told.
    void kill();

    // Whether it has the newest records, and its shares of connections and probes are in use.
    bool ready() const { return m_peers.ready(); }
    // The bound address for callers, ip:port.
    std::string address() const { return m_address; }
    // The bound address for other entries and operators, ip:port.
    std::string peerAddress() const { return m_peers.members().peerAddress(); }
    const CallerContext& callers() const { return m_callers; }
    const Controllers::RecordController& records() const { return m_records; }
    Controllers::BackendServers& servers() { return m_servers; }
    const Requests::CallStats& callStats() const { return m_requests.stats(); }
    Common::EventLog& log() { return m_log; }

private:
    Common::Result<void> listen();
    std::optional<Page> page(const std::string& method, const std::string& target) const;
    Page directory(const std::string& target) const;
    Page metrics() const;
    void refreshLoop();
    void refresh();
    void stopListening();
    void endThreads();
    Decisions::ShutdownPhase advanceShutdown();

    Settings::EntrySettings m_settings;
    Platform::Services m_platform;
    Common::Hooks m_hooks;
    Common::EventLog m_log;
    Controllers::RecordController m_records;
    Controllers::RecordSync m_recordSync;
    Controllers::BackendServers m_servers;
    Controllers::Probes m_probes;
    Common::Snapshot<std::vector<Platform::Instance>> m_instances;
    PeerLink m_peers;
    Requests::RequestPath m_requests;
    CallerContext m_callers;
    Poco::ThreadPool m_threads;
    std::mutex m_serverMutex; // guards the end of m_server: a crash may come while a graceful shutdown is under way
    std::unique_ptr<Poco::Net::TCPServer> m_server;
    std::string m_address;

    mutable std::mutex m_shutdownMutex; // guards m_shutdown
    Decisions::Shutdown m_shutdown;
    std::mutex m_wakeMutex;
    std::condition_variable m_wake; // the refresher's
    bool m_ending = false; // under m_wakeMutex
    std::uint64_t m_appliedRevision = 0; // of the records that m_servers knows; the refresher's
    std::thread m_refresher;
};

}
