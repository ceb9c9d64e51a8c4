#include "Entry/Daemon.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>
#include <fmt/format.h>
#include <json/json.h>

#include "Requests/AnswerFilters.h"
#include "Requests/AttemptFilter.h"
#include "Requests/ParseFilter.h"

namespace Entry {

namespace {

    using Common::EventId;

    constexpr auto refreshInterval = std::chrono::milliseconds(100);
    constexpr int listenBacklog = 1024;
    constexpr int threadStackBytes = 256 * 1024;

    Requests::FilterChain makeChain(const Settings::EntrySettings& settings, const Common::Hooks& hooks, Controllers::RecordController& records, Controllers::BackendServers& servers, Common::EventLog& log)
    {
        return Requests::FilterChain({
            Requests::timelineFilter(log),
            Requests::parseFilter({ .hooks = hooks, .defaultDeadline = std::chrono::milliseconds(settings.defaultDeadlineMs) }, records),
            Requests::attemptFilter({ .hooks = hooks }, servers, log),
        });
    }

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
    , m_servers({ .hooks = m_hooks, .answerBytes = static_cast<std::size_t>(m_settings.limits.answerBytes) }, m_log)
    , m_chain(makeChain(m_settings, m_hooks, m_records, m_servers, m_log))
    , m_callers { .limits = m_settings.limits, .hooks = m_hooks, .chain = m_chain, .page = [this](const auto& method, const auto& target) { return page(method, target); }, .ownTimes = {} }
    , m_threads("callers", 2, m_settings.limits.connections, 60, threadStackBytes)
{
}

Daemon::~Daemon()
{
    stop();
}

Common::Result<void> Daemon::start()
{
    refresh();
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(m_settings.address), true);
        socket.listen(listenBacklog);
        auto params = serverParams(m_settings.limits);
        m_server = std::make_unique<Poco::Net::TCPServer>(callerConnectionFactory(m_callers, params), m_threads, socket, params);
        m_server->start();
    } catch (const Poco::Exception& ec) {
        m_log.log(EventId::ListenFailed, { { "address", m_settings.address }, { "error", ec.displayText() } });
        return Common::Error { Common::ResultCode::Internal, fmt::format("cannot listen on {}: {}", m_settings.address, ec.displayText()) };
    }
    m_refresher = std::thread([this] { refreshLoop(); });
    m_log.log(EventId::EntryStarted, { { "address", address() } });
    return boost::outcome_v2::success();
}

bool Daemon::stop()
{
    if (m_stopping.exchange(true))
        return true;
    m_callers.closing = true;
    if (m_refresher.joinable())
        m_refresher.join();
    auto limit = m_hooks.now() + std::chrono::milliseconds(m_settings.shutdownLimitMs);
    while (m_callers.inFlight > 0 && m_hooks.now() < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    auto clean = m_callers.inFlight == 0;
    if (m_server)
        m_server->stop();
    m_server.reset();
    m_threads.stopAll();
    m_log.log(clean ? EventId::EntryStopped : EventId::EntryStopForced, {});
    return clean;
}

std::string Daemon::address() const
{
    return m_server ? m_server->socket().address().toString() : m_settings.address;
}

std::optional<Page> Daemon::page(const std::string& method, const std::string& target) const
{
    if (target.starts_with("/services/"))
        return std::nullopt;
    if (method != "GET")
        return std::nullopt;
    if (target == "/healthz")
        return Page { .contentType = "text/plain", .body = "ok\n" };
    if (target == "/metrics")
        return metrics();
    if (target.starts_with("/v1/entries?"))
        return directory(target);
    return std::nullopt;
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
    if (records->offered(service)) {
        auto instances = m_instances.get();
        for (const auto& instance : *instances) {
            if (instance.kind != Platform::InstanceKind::Entry || instance.leaving)
                continue;
            Json::Value item;
            item["address"] = instance.address;
            item["failure_domain"] = instance.failureDomain;
            json["entries"].append(item);
        }
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Page { .body = Json::writeString(builder, json) };
}

Page Daemon::metrics() const
{
    auto own = m_callers.ownTimes.quantiles();
    return Page {
        .contentType = "text/plain; version=0.0.4",
        .body = fmt::format("# TYPE cowslipledge_own_time_ms summary\n"
                            "cowslipledge_own_time_ms{{quantile=\"0.5\"}} {}\ncowslipledge_own_time_ms{{quantile=\"0.99\"}} {}\n"
                            "cowslipledge_own_time_ms_sum {}\ncowslipledge_own_time_ms_count {}\n",
            own.p50Ms, own.p99Ms, own.sumMs, own.count),
    };
}

void Daemon::refreshLoop()
{
    while (!m_stopping) {
        std::this_thread::sleep_for(refreshInterval);
        refresh();
    }
}

void Daemon::refresh()
{
    auto changed = m_records.poll();
    if (auto instances = m_platform.instances())
        m_instances.set(std::make_shared<const std::vector<Platform::Instance>>(std::move(instances).value()));
    else if (!changed)
        return;
    m_servers.apply(*m_records.current(), *m_instances.get());
}

}
