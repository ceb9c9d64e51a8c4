#include "Entry/Daemon.h"

#include <algorithm>

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>
#include <fmt/format.h>
#include <json/json.h>

#include "Common/JsonText.h"
#include "Common/MetricsPage.h"
#include "Entry/CallerSocket.h"
#include "Entry/StatusPage.h"
#include "Requests/LoadHeaders.h"

namespace Entry {

namespace {

    using Common::EventId;
    using Decisions::ShutdownPhase;

    constexpr auto refreshInterval = std::chrono::milliseconds(100);
    constexpr int listenBacklog = 1024;
    constexpr int threadStackBytes = 256 * 1024;
    constexpr int idleThreadSeconds = 60;
    constexpr int busyRetryAfterMs = 1000;
    // Until the directories of all entries have heard that this one is leaving.
    constexpr auto directorySpread = std::chrono::milliseconds(1000);
    constexpr auto shutdownStep = std::chrono::milliseconds(5);

    Controllers::MembersOptions membersOptions(const Settings::EntrySettings& settings, const Common::Hooks& hooks)
    {
        return { .hooks = hooks, .peerAddress = settings.peerAddress, .failureDomain = settings.failureDomain, .sharedKey = settings.sharedKey };
    }

    // Refuses connections above the limit, with an answer: a caller left to wait in a queue would learn nothing.
    class ConnectionLimit : public Poco::Net::TCPServerConnectionFilter {
    public:
        explicit ConnectionLimit(CallerContext& context)
            : m_context(context)
        {
        }

        bool accept(const Poco::Net::StreamSocket& socket) override
        {
            if (m_context.connections.count() < m_context.limits.connections)
                return true;
            ++m_context.counters.refusedConnections;
            auto text = refusalText(Common::ResultCode::Overloaded, busyRetryAfterMs);
            // The thread that accepts must not wait: the answer fits into an empty socket buffer or is dropped.
            ::send(socket.impl()->sockfd(), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            return false;
        }

    private:
        CallerContext& m_context;
    };

    Poco::Net::HTTPServerParams::Ptr serverParams(const Settings::CallerLimits& limits)
    {
        constexpr int usPerMs = 1000;
        Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
        params->setMaxThreads(limits.connections);
        params->setMaxQueued(limits.connections);
        params->setKeepAlive(true);
        params->setMaxKeepAliveRequests(0);
        params->setTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(limits.headTimeoutMs) * usPerMs));
        params->setKeepAliveTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(limits.idleTimeoutMs) * usPerMs));
        return params;
    }

}

Daemon::Daemon(Settings::EntrySettings settings, Platform::Services platform, Common::Hooks hooks)
    : m_settings(std::move(settings))
    , m_platform(std::move(platform))
    , m_hooks(std::move(hooks))
    , m_log({ .process = m_settings.address, .format = m_settings.logFormat })
    , m_records(m_platform.table, m_log)
    , m_recordSync({ .hooks = m_hooks, .schedule = {} }, m_platform, m_records, m_log)
    , m_servers({ .hooks = m_hooks, .answerBytes = static_cast<std::size_t>(m_settings.limits.answerBytes), .share = [this](const auto& service) { return m_peers.members().share(service); }, .publishHint = [this](const auto& hint) { m_peers.members().publishHint(hint); } }, m_log)
    , m_probes({ .hooks = m_hooks, .loadOf = Requests::loadReport }, m_servers)
    , m_peers({ .members = membersOptions(m_settings, m_hooks) }, m_records, m_recordSync, m_servers, m_log)
    , m_requests({ .hooks = m_hooks, .defaultDeadline = std::chrono::milliseconds(m_settings.defaultDeadlineMs), .share = [this](const auto& service) { return m_peers.members().share(service); } }, m_records, m_servers, m_platform.table, m_log)
    , m_callers(m_settings.limits, m_hooks, m_requests.chain())
    , m_threads("callers", 2, m_settings.limits.connections + 1, idleThreadSeconds, threadStackBytes)
    , m_address(m_settings.address)
    , m_shutdown({ .directoryTtl = std::chrono::milliseconds(m_settings.directoryTtlMs) + directorySpread, .limit = std::chrono::milliseconds(m_settings.shutdownLimitMs) })
{
    m_callers.page = [this](const auto& method, const auto& target) { return page(method, target); };
}

Daemon::~Daemon()
{
    kill();
}

Common::Result<void> Daemon::start()
{
    auto bound = m_peers.bind();
    if (!bound)
        return bound;
    m_recordSync.step();
    refresh();
    auto listening = listen();
    if (!listening)
        return listening;
    m_peers.start(m_address);
    m_recordSync.start();
    m_refresher = std::thread([this] { refreshLoop(); });
    m_probes.start();
    m_log.log(EventId::EntryStarted, { { "address", m_address } });
    return boost::outcome_v2::success();
}

bool Daemon::stop()
{
    if (!m_server)
        return true;
    {
        std::lock_guard lock(m_shutdownMutex);
        m_shutdown.begin(m_hooks.now());
    }
    m_peers.members().announceLeaving();
    m_log.log(EventId::EntryLeaving, { { "calls", std::to_string(m_callers.inFlight) } });
    auto phase = advanceShutdown();
    while (phase != ShutdownPhase::Stopped && phase != ShutdownPhase::Forced) {
        std::this_thread::sleep_for(shutdownStep);
        phase = advanceShutdown();
        m_callers.closing = phase != ShutdownPhase::Leaving;
        if (phase == ShutdownPhase::Draining) {
            stopListening();
            m_callers.connections.endIdle();
        }
    }
    auto clean = phase == ShutdownPhase::Stopped;
    m_log.log(clean ? EventId::EntryStopped : EventId::EntryStopForced, { { "calls", std::to_string(m_callers.inFlight) } });
    endThreads();
    return clean;
}

void Daemon::forceStop()
{
    std::lock_guard lock(m_shutdownMutex);
    m_shutdown.force();
}

void Daemon::kill()
{
    endThreads();
}

void Daemon::stopListening()
{
    std::lock_guard lock(m_serverMutex);
    if (m_server)
        m_server->stop();
}

Common::Result<void> Daemon::listen()
{
    try {
        CallerServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(m_settings.address), true);
        socket.listen(listenBacklog);
        auto params = serverParams(m_settings.limits);
        m_server = std::make_unique<Poco::Net::TCPServer>(callerConnectionFactory(m_callers, params), m_threads, socket, params);
        m_server->setConnectionFilter(new ConnectionLimit(m_callers));
        m_server->start();
        m_address = m_server->socket().address().toString();
    } catch (const Poco::Exception& ec) {
        m_log.log(EventId::ListenFailed, { { "address", m_settings.address }, { "error", ec.displayText() } });
        return Common::Error { Common::ResultCode::Internal, fmt::format("cannot listen on {}: {}", m_settings.address, ec.displayText()) };
    }
    return boost::outcome_v2::success();
}

std::optional<Page> Daemon::page(const std::string& method, const std::string& target) const
{
    if (target.starts_with("/services/"))
        return std::nullopt;
    auto path = std::string_view(target).substr(0, target.find('?'));
    auto known = path == "/healthz" || path == "/metrics" || path == "/v1/entries" || path == "/v1/status";
    if (!known)
        return std::nullopt;
    if (method != "GET")
        return errorPage(Common::ResultCode::MethodNotAllowed, "expected GET");
    if (path == "/healthz")
        return Page { .contentType = "text/plain", .body = "ok\n" };
    if (path == "/metrics")
        return metrics();
    if (path == "/v1/status")
        return Page { .body = statusPage(*m_records.current(), ready()) };
    return directory(target);
}

Page Daemon::directory(const std::string& target) const
{
    std::string service;
    for (const auto& [name, value] : Poco::URI(target).getQueryParameters()) {
        if (name == "service")
            service = value;
    }
    auto records = m_records.current();
    Json::Value json;
    json["revision"] = Json::UInt64(records->revision);
    json["ttl_ms"] = m_settings.directoryTtlMs;
    json["entries"] = Json::arrayValue;
    for (const auto& entry : m_peers.members().directory(service)) {
        Json::Value item;
        item["address"] = entry.address;
        item["failure_domain"] = entry.failureDomain;
        json["entries"].append(item);
    }
    return Page { .body = Common::jsonText(json) };
}

Page Daemon::metrics() const
{
    Common::MetricsPage page;
    const auto& counters = m_callers.counters;
    page.counter("calls_total", static_cast<double>(counters.answered), "outcome=\"answered\"");
    page.counter("calls_total", static_cast<double>(counters.notRun), "outcome=\"not-run\"");
    page.counter("calls_total", static_cast<double>(counters.unknown), "outcome=\"unknown\"");
    page.counter("malformed_requests_total", static_cast<double>(counters.malformed));
    page.counter("refused_connections_total", static_cast<double>(counters.refusedConnections));
    page.counter("pages_total", static_cast<double>(counters.pages));
    for (const auto& [name, count] : Requests::namedCounts(m_requests.stats()))
        page.counter(name, static_cast<double>(count));
    page.gauge("calls_in_flight", m_callers.inFlight);
    page.gauge("caller_connections", m_callers.connections.count());
    page.gauge("records_revision", static_cast<double>(m_records.current()->revision));
    page.counter("probes_sent_total", static_cast<double>(m_probes.probesSent()));
    page.summary("own_time_ms", m_callers.ownTimes.quantiles());
    page.summary("own_cpu_ms", m_callers.ownCpuTimes.quantiles());
    return { .contentType = "text/plain; version=0.0.4", .body = page.text() };
}

void Daemon::refreshLoop()
{
    std::unique_lock lock(m_wakeMutex);
    while (!m_wake.wait_for(lock, refreshInterval, [this] { return m_ending; })) {
        lock.unlock();
        refresh();
        lock.lock();
    }
}

void Daemon::refresh()
{
    // New records first: the instance list may be slow to come.
    auto records = m_records.current();
    if (records->revision > m_appliedRevision)
        m_servers.apply(*records, *m_instances.get());
    m_appliedRevision = records->revision;
    m_peers.refreshed(*m_instances.get());
    auto instances = m_platform.instances();
    if (!instances)
        return;
    m_instances.set(std::make_shared<const std::vector<Platform::Instance>>(std::move(instances).value()));
    m_servers.apply(*m_records.current(), *m_instances.get());
    m_peers.refreshed(*m_instances.get());
}

// Ends everything that runs; what is still in flight is cut.
void Daemon::endThreads()
{
    std::lock_guard end(m_serverMutex);
    if (!m_server)
        return;
    {
        std::lock_guard lock(m_wakeMutex);
        m_ending = true;
    }
    m_wake.notify_all();
    if (m_refresher.joinable())
        m_refresher.join();
    m_recordSync.stop();
    m_probes.stop();
    m_peers.stop();
    m_callers.closing = true;
    m_server->stop();
    while (m_callers.connections.count() > 0) {
        m_callers.connections.abortAll();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    m_server.reset();
    m_threads.stopAll();
}

Decisions::ShutdownPhase Daemon::advanceShutdown()
{
    std::lock_guard lock(m_shutdownMutex);
    return m_shutdown.advance(m_hooks.now(), m_callers.inFlight, m_callers.connections.count());
}

}
