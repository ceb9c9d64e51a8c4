#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include "Controllers/BackendServers.h"
#include "Controllers/RecordController.h"
#include "Entry/CallerConnection.h"
#include "Platform/Platform.h"
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
    // Graceful shutdown; returns whether nothing was cut.
    bool stop();

    // The bound address for callers, ip:port.
    std::string address() const;
    const CallerContext& callers() const { return m_callers; }
    Common::EventLog& log() { return m_log; }

private:
    std::optional<Page> page(const std::string& method, const std::string& target) const;
    Page directory(const std::string& target) const;
    Page metrics() const;
    void refreshLoop();
    void refresh();

    Settings::EntrySettings m_settings;
    Platform::Services m_platform;
    Common::Hooks m_hooks;
    Common::EventLog m_log;
    Controllers::RecordController m_records;
    Controllers::BackendServers m_servers;
    Common::Snapshot<std::vector<Platform::Instance>> m_instances;
    Requests::FilterChain m_chain;
    CallerContext m_callers;
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
    std::atomic<bool> m_stopping { false };
    std::thread m_refresher;
};

}
