#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Common/EventLog.h"
#include "Common/LogWriter.h"
#include "Decisions/Shutdown.h"
#include "Gateway/Backends.h"
#include "Gateway/Catalog.h"
#include "Gateway/CatalogSync.h"
#include "Gateway/Engine.h"
#include "Gateway/Members.h"
#include "Net/EventLoop.h"
#include "Net/HttpServer.h"
#include "Settings/GatewaySettings.h"

namespace Gateway {

// What a platform's adapter tells the gateway: names, formats and calls.
struct PlatformBinding {
    WireHeaders headers;
    CatalogDecoder decoder;
    std::string readyPath;
    std::string directoryPath;
    // The failure domain that a directory request comes from, and the answer to it.
    std::function<std::string(const Net::Request&)> callerDomain;
    std::function<Net::Response(const std::vector<std::string>& addresses, Common::Duration ttl)> directoryAnswer;
    std::size_t maxAddresses = 64;
    // A client of the store; each has connections of its own.
    std::function<Platform::AsyncTable(Net::EventLoop&, const std::string& address)> openStore;
};

struct DaemonOptions {
    Settings::GatewaySettings settings;
    PlatformBinding platform;
    Common::Hooks hooks = Common::systemHooks();
    int logDescriptor = 1; // standard output
    // Reads the settings again; nothing where they hold mistakes.
    std::function<std::optional<Settings::GatewaySettings>()> reload = {};
    // Grows with each change of the settings file.
    std::function<std::int64_t()> settingsStamp = {};
};

// One gateway instance: listeners, and all controllers on one event loop. All state is in memory and may be lost at any time.
class Daemon {
public:
    explicit Daemon(DaemonOptions);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    // Binds all addresses. Error: Internal where one cannot be bound.
    Common::Result<void> open();
    // Serves until shutdown has ended. Returns whether nothing was cut.
    bool run();
    // Begin a graceful shutdown; read the settings again. Thread-safe.
    void shutDown();
    void reloadSettings();

    // Bound addresses, ip:port.
    std::string callersAddress() const { return m_callers.address(); }
    std::string readyAddress() const { return m_ready.address(); }
    std::string directoryAddress() const { return m_directory.address(); }
    std::string metricsAddress() const { return m_metrics.address(); }
    bool isReady() const { return m_settled && !m_leaving; }

private:
    void serveReady(const std::shared_ptr<Net::Exchange>&);
    void serveDirectory(const std::shared_ptr<Net::Exchange>&);
    void serveMetrics(const std::shared_ptr<Net::Exchange>&);
    void housekeep();
    void noteServing();
    void beginShutdown();
    void stepShutdown();
    void readSettings();
    void flushLog();

    DaemonOptions m_options;
    Net::EventLoop m_loop;
    Common::LogWriter m_writer;
    Common::EventLog m_log;
    Backends m_backends;
    Engine m_engine;
    Catalog m_catalog;
    Members m_members;
    CatalogSync m_news;
    Net::HttpServer m_callers;
    Net::HttpServer m_ready;
    Net::HttpServer m_directory;
    Net::HttpServer m_control;
    Net::HttpServer m_metrics;
    Decisions::Shutdown m_shutdown;
    std::int64_t m_settingsStamp = 0;
    std::uint64_t m_resolves = 0;
    bool m_settled = false; // the catalog is complete, and budgets have been set by it
    bool m_leaving = false;
    bool m_clean = true;
};

}
