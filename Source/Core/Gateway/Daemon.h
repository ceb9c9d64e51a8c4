#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Common/EventLog.h"
#include "Common/LogWriter.h"
#include "Common/NameTable.h"
#include "Decisions/Shutdown.h"
#include "Gateway/Backends.h"
#include "Gateway/Catalog.h"
#include "Gateway/CatalogSync.h"
#include "Gateway/Members.h"
#include "Gateway/RequestRouter.h"
#include "Net/EventLoop.h"
#include "Net/HttpServer.h"
#include "Settings/GatewaySettings.h"

namespace Gateway {

// What the gateway gets from a platform's adapter: header names, paths, formats and the store client.
struct PlatformBinding {
    WireHeaders headers;
    CatalogDecoder decoder;
    std::string readyPath;
    std::string directoryPath;
    // Failure domain of the caller that sent a directory request.
    std::function<std::string(const Net::Request&)> callerDomain;
    // Response to a directory request.
    std::function<Net::Response(const std::vector<std::string>& addresses, Common::Duration ttl)> directoryAnswer;
    std::size_t maxAddresses = 64; // in one directory response
    // Creates a client of the store. Clients don't share connections.
    std::function<Platform::AsyncTable(Net::EventLoop&, const Platform::StoreOptions&)> openStore;
};

struct DaemonOptions {
    Settings::GatewaySettings settings;
    PlatformBinding platform;
    Common::Hooks hooks = Common::systemHooks();
    int logDescriptor = 1; // file descriptor; 1 is standard output
    // Reads the settings again; nullopt if they are invalid.
    std::function<std::optional<Settings::GatewaySettings>()> reload = {};
    // Modification time of the settings file; a change makes the daemon reload it.
    std::function<std::int64_t()> settingsModifiedAt = {};
};

// Whether a gateway takes requests, or the first reason why it doesn't.
enum class Readiness {
    Ready,
    ShuttingDown,
    RegistryUnknown, // neither the store nor another gateway has told the servers
    ConfigurationUnknown, // nor the operators' configuration
    ConfigurationOutdated, // API keys in it may have been revoked
};

inline constexpr std::array readinessNames {
    Common::EnumName<Readiness> { Readiness::Ready, "ready" },
    Common::EnumName<Readiness> { Readiness::ShuttingDown, "shutting-down" },
    Common::EnumName<Readiness> { Readiness::RegistryUnknown, "registry-unknown" },
    Common::EnumName<Readiness> { Readiness::ConfigurationUnknown, "configuration-unknown" },
    Common::EnumName<Readiness> { Readiness::ConfigurationOutdated, "configuration-outdated" },
};

// One gateway process: its listeners and all controllers, on one event loop. All state is in memory and may be lost at any time.
class Daemon {
public:
    explicit Daemon(DaemonOptions);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    // Binds all addresses. Error: Internal if one can't be bound.
    Common::Result<void> open();
    // Serves until shutdown is complete. Returns false if requests or connections were cut off.
    bool run();
    // Begins a graceful shutdown; a second call forces it. Thread-safe.
    void shutDown();
    // Thread-safe.
    void reloadSettings();

    // Bound addresses as ip:port.
    std::string callersAddress() const { return m_callers.address(); }
    std::string forwardingAddress() const { return m_forwarding.address(); }
    std::string readyAddress() const { return m_ready.address(); }
    std::string directoryAddress() const { return m_directory.address(); }
    std::string metricsAddress() const { return m_metrics.address(); }
    Readiness readiness() const;
    bool isReady() const { return readiness() == Readiness::Ready; }

private:
    void serveReady(const std::shared_ptr<Net::Exchange>&);
    void serveDirectory(const std::shared_ptr<Net::Exchange>&);
    void serveMetrics(const std::shared_ptr<Net::Exchange>&);
    Net::ServerOptions callerServerOptions();
    Net::ServerOptions forwardingServerOptions();
    void doHousekeeping();
    void logMemory();
    void releaseMemoryOfChange();
    void logConfigurationAge();
    void logReadiness();
    // Readiness and what it depends on.
    std::vector<Common::EventField> readinessFields() const;
    void updateServingState();
    void beginShutdown();
    void advanceShutdown();
    void readSettings();
    void flushLog();

    DaemonOptions m_options;
    Net::EventLoop m_loop;
    Net::MemoryBudget m_budget;
    Common::LogWriter m_writer;
    Common::EventLog m_log;
    Backends m_backends;
    Members m_members;
    PeerGateways m_peers;
    RequestRouter m_router;
    Catalog m_catalog;
    CatalogSync m_catalogSync;
    Net::HttpServer m_callers;
    Net::HttpServer m_forwarding; // for requests that other gateways forward
    Net::HttpServer m_ready;
    Net::HttpServer m_directory;
    Net::HttpServer m_control;
    Net::HttpServer m_metrics;
    Decisions::Shutdown m_shutdown;
    std::int64_t m_settingsModifiedAt = 0;
    std::uint64_t m_directoryRequests = 0;
    bool m_catalogComplete = false; // and the probe and retry budgets are set from it
    bool m_shuttingDown = false;
    bool m_shutdownClean = true;
    bool m_isMemoryShort = false; // as logged last
    std::uint64_t m_releasedVersion = 0; // of the configuration after which free memory was given back
    bool m_isConfigurationOutdated = false; // as logged last
    Readiness m_readiness = Readiness::RegistryUnknown; // as logged last
    Common::TimePoint m_readinessLoggedAt;
    Common::TimePoint m_started;
    Common::TimePoint m_startedBootTime; // at m_started
    std::uint64_t m_malformedRequests = 0; // of callers
};

}
