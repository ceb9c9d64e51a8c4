#include "Gateway/Daemon.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <fmt/format.h>

#include "Common/FreeMemory.h"
#include "Common/MetricsPage.h"
#include "Gateway/RequestIdentity.h"

namespace Gateway {

namespace {

    using Common::EventId;

    constexpr auto shutdownPollInterval = std::chrono::milliseconds(50);
    constexpr auto housekeepingInterval = std::chrono::seconds(1);
    // Housekeeping interval until the catalog is complete.
    constexpr auto startupPollInterval = std::chrono::milliseconds(20);
    // Shares of the time between SIGTERM and SIGKILL: how long new requests are accepted, and how long those in flight may take,
    // both counted from SIGTERM.
    constexpr double acceptPeriodShare = 0.45;
    constexpr double drainPeriodShare = 0.94;
    // Connections to backend servers end when the server acknowledges nothing for this long.
    constexpr auto peerSilenceLimit = std::chrono::seconds(3);
    // Interval of the log lines that tell why the gateway is not ready.
    constexpr auto notReadyLogInterval = std::chrono::seconds(5);
    // That a gateway adds to the head of a request that it forwards.
    constexpr std::size_t forwardedHeadBytes = 4 * 1024;
    // Fewer leave too little free memory to give back.
    constexpr std::size_t manyKeys = 5000;
    constexpr std::size_t maxControlBodyBytes = 1024 * 1024;
    // Events kept in memory. Few, since the log on standard output is what operators read.
    constexpr std::size_t eventRingSize = 64;

    constexpr double bytesPerMb = 1024 * 1024;

    Decisions::ShutdownOptions shutdownOptions(int graceMs)
    {
        return {
            .directoryTtl = Common::Duration::zero(),
            .closeGrace = Common::fromMilliseconds(acceptPeriodShare * graceMs),
            .limit = Common::fromMilliseconds(drainPeriodShare * graceMs),
        };
    }

    Member selfMember(const Settings::GatewaySettings& settings)
    {
        return {
            .control = settings.control,
            .callers = settings.callers,
            .failureDomain = settings.failureDomain,
            .startedMs = Common::wallMilliseconds(),
            .capacity = settings.capacity,
            .serving = false,
        };
    }

    Decisions::AllowanceOptions allowanceOptions(const Settings::GatewaySettings& settings)
    {
        Decisions::AllowanceOptions options {
            .windowS = std::chrono::duration<double>(std::chrono::milliseconds(settings.allowanceWindowMs)).count(),
            .overage = settings.allowanceOverage,
            .slack = settings.allowanceSlack,
        };
        // A gateway that nothing is heard of has stopped serving keys by then.
        if (settings.revokeMs > 0)
            options.reserveTime = std::chrono::milliseconds(settings.revokeMs);
        return options;
    }

    std::size_t bufferBytes(const Settings::GatewaySettings& settings)
    {
        if (settings.memoryMb <= 0)
            return std::numeric_limits<std::size_t>::max();
        return static_cast<std::size_t>(settings.bufferShare * settings.memoryMb * bytesPerMb);
    }

    // The share of the memory that one response of the store may take: it is held a second time while its buffer grows, and a third time as
    // parsed JSON.
    constexpr double configurationShare = 0.125;

    Platform::StoreOptions storeOptions(const Settings::GatewaySettings& settings)
    {
        Platform::StoreOptions options { .address = settings.store };
        if (settings.memoryMb > 0)
            options.maxConfigurationBytes = std::min(options.maxConfigurationBytes, static_cast<std::size_t>(configurationShare * settings.memoryMb * bytesPerMb));
        return options;
    }

    Net::Response textResponse(int status, std::string body)
    {
        return { .status = status, .reason = {}, .headers = { { "Content-Type", "text/plain" } }, .body = std::move(body) };
    }

    Net::ServerOptions serverOptions(Common::EventLog& log, const std::string& address, std::function<void(std::shared_ptr<Net::Exchange>)> serve)
    {
        return {
            .address = address,
            .limits = [] { return Net::ServerLimits { .bodyBytes = maxControlBodyBytes }; },
            .serve = std::move(serve),
            .malformed = [&log, address](const std::string& detail) { log.log(EventId::CallMalformed, { { "address", address }, { "detail", detail } }); },
            .acceptFailed = [&log, address](const std::string& error) { log.log(EventId::AcceptFailed, { { "address", address }, { "error", error } }); },
        };
    }

}

Daemon::Daemon(DaemonOptions options)
    : m_options(std::move(options))
    , m_loop(m_options.hooks)
    , m_budget(bufferBytes(m_options.settings))
    , m_writer({ .descriptor = m_options.logDescriptor })
    , m_log({
          .process = m_options.settings.node,
          .format = m_options.settings.logFormat,
          .ringSize = eventRingSize,
          .traceRingSize = eventRingSize,
          .sink = [this](const std::string& line) { m_writer.append(line); },
          .linesPerSecond = m_options.settings.logLinesPerSecond,
      })
    , m_backends(m_loop, m_log,
          {
              .headers = m_options.platform.headers,
              .failureDomain = m_options.settings.failureDomain,
              .client = { .deadPeerTimeout = peerSilenceLimit, .sourceHost = m_options.settings.backendSource, .budget = &m_budget },
          })
    , m_members(selfMember(m_options.settings))
    , m_peers(m_loop, m_members,
          {
              .headers = m_options.platform.headers,
              .failureDomain = m_options.settings.failureDomain,
              .client = { .deadPeerTimeout = peerSilenceLimit, .budget = &m_budget },
          })
    , m_router(m_loop, m_log, m_backends, m_peers,
          {
              .headers = m_options.platform.headers,
              .placement = {},
              .retries = { .ratio = m_options.settings.retryRatio,
                  .slack = m_options.settings.retrySlack,
                  .window = std::chrono::milliseconds(m_options.settings.retryWindowMs) },
              .hedging = { .extraShare = m_options.settings.hedgeShare },
              .probesPerServer = m_options.settings.probesPerServer,
              .crashRecorded = [this] { m_catalogSync.onCrashRecorded(); },
              .budget = &m_budget,
              .configurationAge = [this] { return m_catalog.configurationAge(); },
              .revokeTime = m_options.settings.revokeMs > 0 ? std::optional<Common::Duration>(std::chrono::milliseconds(m_options.settings.revokeMs)) : std::nullopt,
              .applyTime = std::chrono::milliseconds(m_options.settings.applyMs),
              .allowances = allowanceOptions(m_options.settings),
          })
    , m_catalog(m_loop, m_log, m_backends, m_router,
          {
              .decoder = m_options.platform.decoder,
              .serverHeartbeat = std::chrono::milliseconds(m_options.settings.serverHeartbeatMs),
          })
    , m_catalogSync(m_loop, m_log, m_catalog, m_members, m_router.crashSuspects(), m_router.allowances(),
          m_options.platform.openStore(m_loop, storeOptions(m_options.settings)),
          m_options.platform.openStore(m_loop, storeOptions(m_options.settings)),
          {
              .seeds = m_options.settings.seeds,
              .reader = { .registryTable = m_options.platform.decoder.registryTable, .operatorTable = m_options.platform.decoder.operatorTable },
              .election = {},
              .applyTime = std::chrono::milliseconds(std::min(m_options.settings.applyMs, m_options.settings.drainMs)),
              .bootstrap = m_options.settings.bootstrap,
          })
    , m_callers(m_loop, callerServerOptions())
    , m_forwarding(m_loop, forwardingServerOptions())
    , m_ready(m_loop, serverOptions(m_log, m_options.settings.ready, [this](const auto& exchange) { serveReady(exchange); }))
    , m_directory(m_loop, serverOptions(m_log, m_options.settings.directory, [this](const auto& exchange) { serveDirectory(exchange); }))
    , m_control(m_loop, serverOptions(m_log, m_options.settings.control, [this](const auto& exchange) { m_catalogSync.serve(exchange); }))
    , m_metrics(m_loop, serverOptions(m_log, m_options.settings.metrics, [this](const auto& exchange) { serveMetrics(exchange); }))
    , m_shutdown(shutdownOptions(m_options.settings.graceMs))
{
}

Net::ServerOptions Daemon::callerServerOptions()
{
    auto options = serverOptions(m_log, m_options.settings.callers, [this](const std::shared_ptr<Net::Exchange>& exchange) { m_router.serve(exchange); });
    options.malformed = [this, logMalformed = std::move(options.malformed)](const std::string& detail) {
        ++m_malformedRequests;
        logMalformed(detail);
    };
    options.limits = [this] { return m_router.configuration() ? m_router.configuration()->limits : Net::ServerLimits(); };
    options.heldBodyBytes = heldBodyBytes;
    options.budget = &m_budget;
    return options;
}

Net::ServerOptions Daemon::forwardingServerOptions()
{
    auto options = serverOptions(m_log, m_options.settings.forwarding, [this](const std::shared_ptr<Net::Exchange>& exchange) { m_router.serveForwarded(exchange); });
    options.limits = [this] {
        auto limits = m_router.configuration() ? m_router.configuration()->limits : Net::ServerLimits();
        limits.headBytes += forwardedHeadBytes;
        return limits;
    };
    options.heldBodyBytes = heldBodyBytes;
    options.budget = &m_budget;
    return options;
}

Daemon::~Daemon()
{
    flushLog();
}

Common::Result<void> Daemon::open()
{
    for (auto* server : { &m_callers, &m_forwarding, &m_ready, &m_directory, &m_control, &m_metrics }) {
        auto isLeftOut = (server == &m_metrics && m_options.settings.metrics.empty()) || (server == &m_forwarding && m_options.settings.forwarding.empty());
        if (isLeftOut)
            continue;
        if (auto opened = server->open(); !opened) {
            m_log.log(EventId::ListenFailed, { { "error", opened.error().text } });
            return opened;
        }
    }
    if (!m_options.settings.forwarding.empty())
        m_members.setForwarding(m_forwarding.address());
    m_settingsModifiedAt = m_options.settingsModifiedAt ? m_options.settingsModifiedAt() : 0;
    m_log.log(EventId::EntryStarted,
        { { "callers", m_options.settings.callers }, { "domain", m_options.settings.failureDomain }, { "store", m_options.settings.store } });
    return boost::outcome_v2::success();
}

bool Daemon::run()
{
    m_loop.onUnexpectedError([this](const std::string& what) { m_log.log(EventId::UnexpectedError, { { "error", what } }); });
    m_started = m_readinessLoggedAt = m_loop.now();
    m_startedBootTime = Common::bootTime(m_loop.hooks());
    m_catalogSync.start();
    doHousekeeping();
    m_loop.run();
    m_log.log(m_shutdownClean ? EventId::EntryStopped : EventId::EntryStopForced, { { "in_flight", std::to_string(m_callers.inFlight()) } });
    flushLog();
    return m_shutdownClean;
}

void Daemon::doHousekeeping()
{
    m_backends.closeIdleConnections();
    m_peers.closeIdleConnections();
    m_router.crashSuspects().expire(m_loop.now());
    m_budget.wake();
    logMemory();
    releaseMemoryOfChange();
    m_router.setGatewayCount(m_catalogSync.gatewayCount());
    m_backends.setGateways(m_members.self().control, m_members.servingInOwnDomain(), m_members.size());
    m_catalogComplete = m_catalog.isComplete();
    logConfigurationAge();
    logReadiness();
    updateServingState();
    if (m_options.settingsModifiedAt && m_options.settingsModifiedAt() != m_settingsModifiedAt)
        readSettings();
    flushLog();
    // A starting gateway checks more often, so that it becomes ready soon after its catalog is complete.
    m_loop.after(m_catalogComplete ? Common::Duration(housekeepingInterval) : Common::Duration(startupPollInterval), [this] { doHousekeeping(); });
}

// Reading a configuration with 100,000 API keys takes 30 MB for a moment.
void Daemon::releaseMemoryOfChange()
{
    const auto& configuration = m_router.configuration();
    if (!configuration || std::exchange(m_releasedVersion, configuration->version) == configuration->version)
        return;
    if (configuration->organisations.keyCount() >= manyKeys)
        Common::releaseFreeMemory();
}

void Daemon::logMemory()
{
    auto isShort = !m_budget.takesLargeBodies();
    if (isShort == m_isMemoryShort)
        return;
    m_isMemoryShort = isShort;
    m_log.log(isShort ? EventId::MemoryShort : EventId::MemoryFree,
        { { "used", std::to_string(m_budget.used()) }, { "limit", std::to_string(m_budget.limit()) }, { "reads_paused", std::to_string(m_budget.waits()) } });
}

void Daemon::logConfigurationAge()
{
    auto isOutdated = m_router.isConfigurationOutdated();
    if (isOutdated == m_isConfigurationOutdated)
        return;
    m_isConfigurationOutdated = isOutdated;
    auto age = m_catalog.configurationAge();
    m_log.log(isOutdated ? EventId::ConfigurationOutdated : EventId::ConfigurationConfirmed,
        { { "version", std::to_string(m_router.configuration()->version) }, { "age_ms", age ? std::to_string(static_cast<long>(Common::toMilliseconds(*age))) : "unknown" } });
}

Readiness Daemon::readiness() const
{
    if (m_shuttingDown)
        return Readiness::ShuttingDown;
    if (!m_catalogComplete)
        return m_router.configuration() ? Readiness::RegistryUnknown : Readiness::ConfigurationUnknown;
    return m_router.isConfigurationOutdated() ? Readiness::ConfigurationOutdated : Readiness::Ready;
}

std::vector<Common::EventField> Daemon::readinessFields() const
{
    auto toText = [](Common::Duration duration) { return std::to_string(static_cast<long>(Common::toMilliseconds(duration))); };
    auto now = m_loop.now();
    auto age = m_catalog.configurationAge();
    // Grows while the machine is suspended, and with any other difference between the clocks.
    auto suspended = Common::bootTime(m_loop.hooks()) - m_startedBootTime - (now - m_started);
    return {
        { "state", std::string(Common::nameOf(readinessNames, readiness())) },
        { "since_start_ms", toText(now - m_started) },
        { "configuration", m_router.configuration() ? std::to_string(m_router.configuration()->version) : "none" },
        { "configuration_age_ms", age ? toText(*age) : "unknown" },
        { "revoke_ms", std::to_string(m_options.settings.revokeMs) },
        { "suspended_ms", toText(suspended) },
        { "store_answers", m_catalogSync.reader().storeAnswers() ? "true" : "false" },
        { "relayed", m_catalogSync.isRelayed() ? "true" : "false" },
    };
}

void Daemon::logReadiness()
{
    auto state = readiness();
    if (state == Readiness::ShuttingDown)
        return; // entry-leaving tells it
    auto isChanged = state != m_readiness && (state == Readiness::Ready || m_readiness == Readiness::Ready);
    auto isDue = state != Readiness::Ready && m_loop.now() - m_readinessLoggedAt >= notReadyLogInterval;
    m_readiness = state;
    if (!isChanged && !isDue)
        return;
    m_readinessLoggedAt = m_loop.now();
    m_log.log(state == Readiness::Ready ? EventId::Ready : EventId::NotReady, readinessFields());
}

void Daemon::updateServingState()
{
    if (m_members.self().serving == isReady())
        return;
    m_members.setServing(isReady());
    m_catalogSync.onSelfChanged();
}

void Daemon::flushLog()
{
    m_writer.flush();
}

void Daemon::serveReady(const std::shared_ptr<Net::Exchange>& exchange)
{
    if (Net::pathOf(exchange->request().target) != m_options.platform.readyPath)
        return exchange->respond({ .status = Net::HttpStatus::NotFound, .reason = {}, .headers = {}, .body = {} });
    if (isReady())
        return exchange->respond({ .status = Net::HttpStatus::Ok, .reason = {}, .headers = {}, .body = {} });
    std::string text;
    for (const auto& field : readinessFields())
        text += fmt::format("{}: {}\n", field.key, field.value);
    exchange->respond(textResponse(Net::HttpStatus::Unavailable, std::move(text)));
}

void Daemon::serveDirectory(const std::shared_ptr<Net::Exchange>& exchange)
{
    if (Net::pathOf(exchange->request().target) != m_options.platform.directoryPath)
        return exchange->respond(textResponse(Net::HttpStatus::NotFound, {}));
    ++m_directoryRequests;
    auto addresses = m_members.addressesFor(m_options.platform.callerDomain(exchange->request()), m_options.platform.maxAddresses, m_options.hooks);
    if (addresses.empty())
        return exchange->respond(textResponse(Net::HttpStatus::Unavailable, "no entry serves callers"));
    exchange->respond(m_options.platform.directoryAnswer(addresses, std::chrono::milliseconds(m_options.settings.directoryTtlMs)));
}

void Daemon::serveMetrics(const std::shared_ptr<Net::Exchange>& exchange)
{
    const auto& counters = m_router.counters();
    Common::MetricsPage page;
    page.counter("requests_total", static_cast<double>(counters.requests));
    page.counter("forwarded_total", static_cast<double>(counters.forwarded));
    page.counter("forwarded_outdated_total", static_cast<double>(counters.forwardedAsOutdated));
    page.counter("accepted_forwarded_total", static_cast<double>(counters.acceptedForwarded));
    page.counter("accepted_unauthenticated_total", static_cast<double>(counters.acceptedUnauthenticated));
    page.counter("answered_total", static_cast<double>(counters.answered));
    page.counter("refused_total", static_cast<double>(counters.refused));
    page.counter("refused_blocked_total", static_cast<double>(counters.blocked));
    page.counter("refused_memory_total", static_cast<double>(counters.refusedForMemory));
    page.counter("long_bodies_total", static_cast<double>(counters.longBodies));
    page.counter("reads_paused_total", static_cast<double>(m_budget.waits()));
    page.gauge("buffered_bytes", static_cast<double>(m_budget.used()));
    page.gauge("buffered_bytes_peak", static_cast<double>(m_budget.peak()));
    page.gauge("buffered_bytes_limit", static_cast<double>(m_budget.limit()));
    page.counter("failed_total", static_cast<double>(counters.failed));
    page.counter("unproven_rejections_total", static_cast<double>(counters.unprovenRejections));
    page.counter("cut_responses_total", static_cast<double>(counters.cut));
    page.counter("unknown_route_total", static_cast<double>(counters.unknownRoute));
    page.counter("unauthorized_total", static_cast<double>(counters.unauthorized));
    page.counter("refused_outdated_total", static_cast<double>(counters.refusedAsOutdated));
    page.counter("refused_allowance_total", static_cast<double>(counters.refusedForAllowance));
    page.gauge("limited_organisations", static_cast<double>(m_router.allowances().gate().limitedCount()));
    page.counter("abandoned_total", static_cast<double>(counters.abandoned));
    page.counter("sends_total", static_cast<double>(counters.attempts));
    page.counter("second_sends_total", static_cast<double>(counters.retries));
    page.counter("hedges_total", static_cast<double>(counters.hedges));
    page.counter("hedges_won_total", static_cast<double>(counters.hedgesWon));
    page.counter("hedges_denied_total", static_cast<double>(counters.hedgesDenied));
    page.counter("probes_total", static_cast<double>(counters.probes));
    page.counter("backend_connections_total", static_cast<double>(m_backends.connectionsOpened()));
    page.counter("directory_answers_total", static_cast<double>(m_directoryRequests));
    page.counter("store_calls_total", static_cast<double>(m_catalogSync.reader().calls() + m_catalogSync.relayListCalls()));
    page.counter("store_failures_total", static_cast<double>(m_catalogSync.reader().failures()));
    page.counter("log_lines_dropped_total", static_cast<double>(m_writer.dropped()));
    page.gauge("requests_in_flight", static_cast<double>(m_router.requestsInFlight()));
    page.gauge("caller_connections", static_cast<double>(m_callers.connections()));
    page.gauge("backend_servers", static_cast<double>(m_backends.size()));
    page.gauge("evacuated_domains", static_cast<double>(m_backends.evacuatedDomainCount()));
    page.gauge("warming_servers", static_cast<double>(m_backends.warmingCount()));
    page.gauge("limited_servers", static_cast<double>(m_backends.limitedCount()));
    page.counter("malformed_requests_total", static_cast<double>(m_malformedRequests));
    page.counter("malformed_responses_total", static_cast<double>(m_backends.malformedResponses()));
    page.counter("failed_contacts_total", static_cast<double>(m_backends.failedContacts()));
    page.gauge("unreachable_services", static_cast<double>(m_backends.unreachableServices()));
    page.gauge("crash_suspects", static_cast<double>(m_router.crashSuspects().size()));
    page.gauge("blocked_requests", static_cast<double>(m_router.crashSuspects().blocked()));
    page.gauge("members", static_cast<double>(m_members.size()));
    page.gauge("member_list_age_ms", Common::toMilliseconds(m_members.listAge(m_loop.now()).value_or(Common::Duration::zero())));
    page.gauge("catalog_age_ms", Common::toMilliseconds(m_catalog.age()));
    page.gauge("configuration_version", m_router.configuration() ? static_cast<double>(m_router.configuration()->version) : 0);
    page.gauge("relayed", m_catalogSync.isRelayed() ? 1 : 0);
    page.gauge("reading_store", m_catalogSync.reader().isRunning() ? 1 : 0);
    page.gauge("store_answers", m_catalogSync.reader().storeAnswers() ? 1 : 0);
    page.gauge("relay_list_version", static_cast<double>(m_catalogSync.relayList().version));
    auto configurationAge = m_catalog.configurationAge();
    page.gauge("configuration_age_ms", configurationAge ? Common::toMilliseconds(*configurationAge) : -1);
    page.gauge("ready", isReady() ? 1 : 0);
    page.summary("request_ms", m_router.totalTimes().quantiles());
    page.summary("server_ms", m_router.serverTimes().quantiles());
    page.summary("placement_ms", m_router.placementTimes().quantiles());
    exchange->respond(textResponse(Net::HttpStatus::Ok, page.text()));
}

void Daemon::shutDown()
{
    m_loop.post([this] { beginShutdown(); });
}

void Daemon::reloadSettings()
{
    m_loop.post([this] { readSettings(); });
}

void Daemon::readSettings()
{
    if (!m_options.reload)
        return;
    m_settingsModifiedAt = m_options.settingsModifiedAt ? m_options.settingsModifiedAt() : 0;
    auto settings = m_options.reload();
    if (!settings)
        return m_log.log(EventId::SettingsRejected, {});
    // Only the directory TTL changes at run time. All other settings need a restart; needs_restart covers only these
    // addresses.
    auto& current = m_options.settings;
    auto needsRestart = settings->callers != current.callers || settings->control != current.control || settings->store != current.store
        || settings->directory != current.directory || settings->ready != current.ready;
    current.directoryTtlMs = settings->directoryTtlMs;
    m_log.log(EventId::SettingsReloaded, { { "needs_restart", needsRestart ? "true" : "false" } });
    flushLog();
}

void Daemon::beginShutdown()
{
    if (m_shuttingDown) {
        m_shutdown.force();
        return;
    }
    m_shuttingDown = true;
    m_log.log(EventId::EntryLeaving,
        { { "in_flight", std::to_string(m_callers.inFlight()) }, { "connections", std::to_string(m_callers.connections()) } });
    flushLog();
    m_shutdown.begin(m_loop.now());
    m_router.setStopPeriod({ .begin = m_loop.now(), .end = m_shutdown.end() });
    m_callers.startDraining();
    m_forwarding.startDraining();
    m_members.setServing(false);
    m_catalogSync.leave();
    advanceShutdown();
}

void Daemon::advanceShutdown()
{
    auto inFlight = m_callers.inFlight() + m_forwarding.inFlight();
    auto connections = m_callers.connections() + m_forwarding.connections();
    auto phase = m_shutdown.advance(m_loop.now(), static_cast<int>(inFlight), static_cast<int>(connections));
    if (phase == Decisions::ShutdownPhase::Draining) {
        for (auto* server : { &m_callers, &m_forwarding }) {
            server->stopAccepting();
            server->closeConnections();
        }
    }
    if (phase == Decisions::ShutdownPhase::Stopped || phase == Decisions::ShutdownPhase::Forced) {
        m_shutdownClean = phase == Decisions::ShutdownPhase::Stopped;
        return m_loop.stop();
    }
    m_loop.after(shutdownPollInterval, [this] { advanceShutdown(); });
}

}
