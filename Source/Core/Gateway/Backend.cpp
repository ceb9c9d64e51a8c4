#include "Gateway/Backend.h"

#include <algorithm>
#include <cmath>

#include "Decisions/Decay.h"

namespace Gateway {

namespace {

    // Free connections are closed after this share of the server's idle timeout, which starts at its last response.
    constexpr double idleTimeoutShare = 0.7;
    // Used for servers that announce no idle timeout.
    constexpr auto defaultIdleTimeout = std::chrono::seconds(4);
    // Decay time of failures, answers and slowness: faults of servers last seconds.
    constexpr auto statisticsDecayTime = std::chrono::seconds(4);
    // Weight of the newest response in the moving average of the slowness.
    constexpr double slownessGain = 0.3;
    // Upper bound of the slowness; its inverse is the lower bound.
    constexpr double maxSlowness = 8;
    // Consecutive failed probes after which a server becomes suspect, and for how long.
    constexpr int probeFailuresToSuspect = 2;
    constexpr auto suspectPeriod = std::chrono::milliseconds(1500);
    // Prior for the failure share: every server counts as if it had answered this many requests.
    constexpr double priorAnswerWeight = 2;
    // Load probes that ask a limited server whether it still is: about 10 a second from all gateways together.
    constexpr auto minLimitCheckInterval = std::chrono::milliseconds(1500);
    constexpr auto limitCheckIntervalPerGateway = std::chrono::milliseconds(100);
    constexpr auto limitCheckTimeout = std::chrono::milliseconds(250);
    // For how long a limit holds that no answer has confirmed, if answers to load probes don't name it. Bounds the requests sent to
    // find out, by all gateways together, to one in four seconds.
    constexpr auto minLimitMemory = std::chrono::seconds(30);
    constexpr auto limitMemoryPerGateway = std::chrono::seconds(4);
    // Of the answer to a load probe: many may be under way at once.
    constexpr std::size_t maxProbeBodyBytes = 64 * 1024;
    // Decay time of load reports: an older one says little about the current load.
    constexpr auto reportDecayTime = std::chrono::milliseconds(300);

}

Backend::Backend(Net::EventLoop& loop, ServerRecord record, BackendOptions options)
    : m_loop(loop)
    , m_record(std::move(record))
    , m_options(std::move(options))
    , m_lastContact(loop.now())
{
    setColdUntil(loop.now() + std::chrono::milliseconds(m_record.warmupLeftMs));
}

void Backend::setOptions(BackendOptions options)
{
    m_options = std::move(options);
    updateWarmupRate();
}

void Backend::setColdUntil(Common::TimePoint until)
{
    if (m_loop.now() >= m_coldUntil)
        m_warmup.clear();
    m_coldUntil = until;
    updateWarmupRate();
}

void Backend::updateWarmupRate()
{
    if (m_options.warmupPerSecond <= 0 || m_loop.now() >= m_coldUntil)
        return m_warmup.clear();
    m_warmup.set(m_options.warmupPerSecond, m_options.warmupShare(m_record, m_options.warmupPerSecond), m_loop.now());
}

std::optional<Common::Duration> Backend::limitLeft(Common::TimePoint now) const
{
    auto left = m_limit.timeLeft(now);
    if (!left || !isWarming(now))
        return left;
    // A gateway without a share uses the server when it is warm.
    return std::max(*left, std::min(m_coldUntil - now, m_warmup.timeLeft(now).value_or(Common::Duration::max())));
}

void Backend::update(const ServerRecord& record)
{
    auto isReplaced = record.startedMs != m_record.startedMs || record.address != m_record.address;
    m_record = record;
    m_misdirected = m_misdirected && !isReplaced;
    m_leaving = m_leaving && !isReplaced;
    setColdUntil(std::max(m_coldUntil, m_loop.now() + std::chrono::milliseconds(record.warmupLeftMs)));
    if (isReplaced)
        resetLearnedState();
    if (!isUsable())
        m_free.clear();
}

void Backend::resetLearnedState()
{
    m_free.clear();
    m_report.reset();
    m_slowness = 1;
    m_failureWeight = m_answerWeight = 0;
    m_consecutiveProbeFailures = 0;
    m_healthy = true;
    m_suspectUntil = {};
    m_pause = {};
    m_limit = {};
    m_probesNameLimit = false;
    m_warmup.clear();
    m_probesTellWarmup = m_requestsTellWarmup = false;
    setColdUntil(m_loop.now() + std::chrono::milliseconds(m_record.warmupLeftMs));
}

void Backend::retire()
{
    m_retired = true;
    m_free.clear();
}

void Backend::setMisdirected()
{
    m_misdirected = true;
    m_free.clear();
}

void Backend::setLeaving()
{
    m_leaving = true;
    m_free.clear();
}

void Backend::setEvacuated(bool isEvacuated)
{
    m_evacuated = isEvacuated;
    if (isEvacuated)
        m_free.clear();
}

void Backend::learnFrom(const Net::Response& response, ResponseKind kind)
{
    updateLoadReport(response.headers);
    updateLimit(response, kind);
    updateWarmup(response, kind);
    const auto& names = *m_options.headers;
    if (!m_leaving && Net::findHeader(response.headers, names.leaving) == "1") {
        setLeaving();
        m_options.left(m_record);
    }
    auto text = response.status == Net::HttpStatus::Unavailable ? Net::findHeader(response.headers, names.retryAfter) : std::nullopt;
    if (auto pause = text ? Decisions::parsePause(*text) : std::nullopt) {
        m_pause.extend(*pause, m_loop.now());
        m_options.paused(m_record, *pause);
    }
}

void Backend::updateLimit(const Net::Response& response, ResponseKind kind)
{
    const auto& names = *m_options.headers;
    auto text = Net::findHeader(response.headers, names.limit);
    auto perSecond = text ? Decisions::parseLimit(*text) : std::nullopt;
    if (perSecond) {
        m_probesNameLimit = m_probesNameLimit || kind == ResponseKind::Probe;
        auto before = m_limit.perSecond();
        m_limit.set(*perSecond, m_options.limitShare(m_record, *perSecond), m_loop.now());
        if (before != perSecond)
            m_options.limitChanged(m_record, perSecond, m_limit.share());
        return;
    }
    // A server that only rejects may leave the limit out, and so may one that names it on answers to requests alone.
    auto tells = kind == ResponseKind::Probe ? m_probesNameLimit : !Net::findHeader(response.headers, names.notExecuted);
    if (!text && tells)
        endLimit();
}

void Backend::updateWarmup(const Net::Response& response, ResponseKind kind)
{
    const auto& names = *m_options.headers;
    auto& isTold = kind == ResponseKind::Probe ? m_probesTellWarmup : m_requestsTellWarmup;
    auto text = names.warmupLeft.empty() ? std::nullopt : Net::findHeader(response.headers, names.warmupLeft);
    if (text) {
        auto left = Decisions::parseWarmup(*text);
        if (!left)
            return;
        isTold = *left > Common::Duration::zero();
        return setColdUntil(m_loop.now() + *left);
    }
    // A server that only rejects may leave it out.
    if (!isTold || Net::findHeader(response.headers, names.notExecuted))
        return;
    isTold = false;
    setColdUntil(m_loop.now());
}

void Backend::endLimit()
{
    if (!m_limit.isSet())
        return;
    m_limit.clear();
    m_probesNameLimit = false;
    m_options.limitChanged(m_record, std::nullopt, 0);
}

void Backend::updateLimitShare()
{
    if (auto perSecond = m_limit.perSecond())
        m_limit.setShare(m_options.limitShare(m_record, *perSecond), m_loop.now());
    updateWarmupRate();
}

void Backend::checkLimit(Common::TimePoint now, int gatewayCount)
{
    if (!m_limit.isSet() || !isUsable() || m_pause.isActive(now))
        return;
    auto age = now - m_limit.namedAt();
    if (m_probesNameLimit && age > std::max<Common::Duration>(minLimitCheckInterval, limitCheckIntervalPerGateway * gatewayCount))
        probe(limitCheckTimeout, [](const ProbeAnswer&) {});
    // The next request to it tells whether it still names one.
    if (!m_probesNameLimit && age > std::max<Common::Duration>(minLimitMemory, limitMemoryPerGateway * gatewayCount))
        endLimit();
}

void Backend::beginRequest()
{
    ++m_unreported;
    ++m_inFlight;
    if (m_limit.isSet())
        m_limit.take(m_loop.now());
    if (isWarming(m_loop.now()))
        m_warmup.take(m_loop.now());
}

bool Backend::isStale(const Net::ClientConnection& connection, Common::TimePoint now) const
{
    Common::Duration maxIdle = defaultIdleTimeout;
    if (auto seconds = connection.idleTimeoutS())
        maxIdle = Common::fromMilliseconds(idleTimeoutShare * 1000 * *seconds);
    return now - connection.lastUsed() > maxIdle;
}

void Backend::closeIdleConnections(Common::TimePoint now)
{
    std::erase_if(m_free, [&](const auto& it) { return it->isClosed() || isStale(*it, now); });
}

Backend::AcquiredConnection Backend::acquireConnection(Common::Duration maxIdle)
{
    auto now = m_loop.now();
    while (!m_free.empty()) {
        auto connection = m_free.back();
        m_free.pop_back();
        if (connection->isFree() && !isStale(*connection, now) && now - connection->lastUsed() <= maxIdle)
            return { .connection = connection, .reused = true };
    }
    return openConnection();
}

Backend::AcquiredConnection Backend::openConnection()
{
    ++m_connectionsOpened;
    return { .connection = Net::ClientConnection::open(m_loop, m_record.address, m_options.client), .reused = false };
}

void Backend::releaseConnection(const std::shared_ptr<Net::ClientConnection>& connection)
{
    if (m_busy.erase(connection) == 0 || !isUsable() || !connection->isFree())
        return;
    std::weak_ptr<Backend> weak = weak_from_this();
    auto* raw = connection.get();
    connection->onIdleClose([weak, raw] {
        if (auto self = weak.lock())
            std::erase_if(self->m_free, [&](const auto& it) { return it.get() == raw; });
    });
    m_free.push_back(connection);
    if (m_free.size() > static_cast<std::size_t>(std::max(1, m_options.maxConnections)))
        m_free.pop_front();
}

std::shared_ptr<Net::ClientConnection> Backend::send(
    std::string bytes, bool expectsBody, Common::Duration timeout, Common::Duration maxIdle, Net::ClientHandlers handlers)
{
    return sendOver(acquireConnection(maxIdle), std::move(bytes), expectsBody, timeout, std::move(handlers));
}

std::shared_ptr<Net::ClientConnection> Backend::sendOver(
    const AcquiredConnection& acquired, std::string bytes, bool expectsBody, Common::Duration timeout, Net::ClientHandlers handlers)
{
    const auto& [connection, reused] = acquired;
    m_busy.insert(connection);
    m_lastContact = m_loop.now();
    std::weak_ptr<Backend> weak = weak_from_this();
    std::weak_ptr<Net::ClientConnection> weakConnection = connection;
    ServerContact contact { .failure = {}, .isNewConnection = !reused, .sentAt = m_loop.now() };
    auto onContact = [weak, contact](std::optional<Net::ClientFailure> failure) {
        auto outcome = contact;
        outcome.failure = std::move(failure);
        if (auto self = weak.lock())
            self->reportContact(outcome);
    };
    auto releaseWhenDone = [weak, weakConnection] {
        auto self = weak.lock();
        auto done = weakConnection.lock();
        if (self && done)
            self->releaseConnection(done);
    };
    connection->send(std::move(bytes), expectsBody, timeout,
        { .answered = [onContact, releaseWhenDone, answered = std::move(handlers.answered)](Net::ResponseHead&& head) {
             releaseWhenDone();
             onContact(std::nullopt);
             answered(std::move(head)); },
            .failed = [onContact, releaseWhenDone, failed = std::move(handlers.failed)](const Net::ClientFailure& failure) {
                releaseWhenDone();
                onContact(failure);
                failed(failure); },
            .matchesRequest = std::move(handlers.matchesRequest),
            .started = std::move(handlers.started),
            .continued = std::move(handlers.continued),
            .completed = [releaseWhenDone, completed = std::move(handlers.completed)] {
                releaseWhenDone();
                completed(); },
            .maxBodyBytes = handlers.maxBodyBytes,
            .roomForBody = std::move(handlers.roomForBody) });
    return connection;
}

void Backend::reportContact(const ServerContact& contact)
{
    m_options.contacted(m_record, contact);
}

void Backend::abandon(const std::shared_ptr<Net::ClientConnection>& connection)
{
    connection->close();
    m_busy.erase(connection);
}

void Backend::probe(Common::Duration timeout, const std::function<void(const ProbeAnswer&)>& done)
{
    sendProbe(acquireConnection(Common::Duration::max()), timeout, true, done);
}

void Backend::probeNewConnection(Common::Duration timeout, const std::function<void(const ProbeAnswer&)>& done)
{
    sendProbe(openConnection(), timeout, false, done);
}

void Backend::checkAlive(Common::Duration timeout, std::function<void(bool)> done)
{
    if (isAvailable(m_loop.now()))
        return probe(timeout, [done = std::move(done)](const ProbeAnswer& answer) { done(answer.answered); });
    auto options = m_options.client;
    options.connectTimeout = timeout;
    ++m_connectionsOpened;
    auto connection = Net::ClientConnection::open(m_loop, m_record.address, options);
    m_busy.insert(connection);
    std::weak_ptr<Backend> weak = weak_from_this();
    std::weak_ptr<Net::ClientConnection> weakConnection = connection;
    auto finish = [weak, weakConnection, done = std::move(done)](bool isAlive) {
        auto self = weak.lock();
        auto opened = weakConnection.lock();
        if (!self || !opened)
            return;
        self->releaseConnection(opened);
        done(isAlive);
    };
    connection->onConnected([finish] { finish(true); });
    connection->onIdleClose([finish] { finish(false); });
}

void Backend::sendProbe(const AcquiredConnection& acquired, Common::Duration timeout, bool mayRetryOnNewConnection, const std::function<void(const ProbeAnswer&)>& done)
{
    Net::Request request {
        .method = "GET",
        .target = m_options.healthPath,
        .headers = { { "Host", m_record.address } },
        .body = {},
        .keepAlive = true,
    };
    // A weak pointer avoids a cycle: the backend owns the connection, which owns these handlers.
    std::weak_ptr<Backend> weak = weak_from_this();
    // A late response to an earlier request on the connection has a request id; a probe response has none.
    auto matchesRequest = [name = m_options.headers->requestId](const Net::ResponseHead& head) {
        return !Net::findHeader(head.response.headers, name);
    };
    sendOver(acquired, Net::toBytes(request), true, timeout,
        { .answered = [weak, done](Net::ResponseHead&& head) {
             auto self = weak.lock();
             if (!self)
                 return;
             auto id = Net::findHeader(head.response.headers, self->m_options.headers->instanceId);
             self->m_consecutiveProbeFailures = 0;
             self->m_suspectUntil = {};
             if (id && *id != self->m_record.id) {
                 self->setMisdirected();
                 return done({ .answered = true, .healthy = false, .reported = false });
             }
             self->m_healthy = head.response.status == Net::HttpStatus::Ok;
             auto before = self->m_report ? self->m_report->at : Common::TimePoint();
             self->learnFrom(head.response, ResponseKind::Probe);
             auto reported = self->m_report && self->m_report->at > before;
             done({ .answered = true, .healthy = self->m_healthy, .reported = reported }); },
            .failed = [weak, done, mayRetryOnNewConnection, reused = acquired.reused, timeout](const Net::ClientFailure& failure) {
                auto self = weak.lock();
                if (!self)
                    return;
                // The server may have closed a reused connection just before the probe arrived.
                auto wasClosed = failure.kind == Net::FailureKind::Reset || failure.kind == Net::FailureKind::Closed;
                if (mayRetryOnNewConnection && reused && wasClosed && self->isAvailable(self->m_loop.now())) {
                    self->m_free.clear();
                    return self->sendProbe(self->openConnection(), timeout, false, done);
                }
                self->recordProbeFailure(reused);
                done({}); },
            .matchesRequest = matchesRequest,
            .maxBodyBytes = maxProbeBodyBytes });
}

void Backend::recordProbeFailure(bool wasReused)
{
    if (++m_consecutiveProbeFailures >= probeFailuresToSuspect)
        m_suspectUntil = m_loop.now() + suspectPeriod;
    // If an open connection failed, the others are probably dead too. That a new one can't be opened says nothing of them.
    if (wasReused)
        m_free.clear();
}

void Backend::updateLoadReport(const Net::Headers& headers)
{
    auto text = Net::findHeader(headers, m_options.headers->load);
    auto report = text ? parseLoadReport(*text, m_loop.now()) : std::nullopt;
    if (!report)
        return;
    m_report = report;
    m_unreported = 0;
}

void Backend::endRequest()
{
    m_inFlight = std::max(0, m_inFlight - 1);
    m_unreported = std::max(0, m_unreported - 1);
}

void Backend::recordAnswer(double tookMs, double expectedMs)
{
    auto now = m_loop.now();
    auto remaining = Decisions::decay(now - m_statisticsUpdatedAt, statisticsDecayTime);
    m_failureWeight *= remaining;
    m_answerWeight = m_answerWeight * remaining + 1;
    m_statisticsUpdatedAt = now;
    if (expectedMs > 0) {
        // The expected response time already includes a slowness above 1.
        auto ratio = std::clamp(m_slowness * tookMs / expectedMs, 1 / maxSlowness, maxSlowness);
        m_slowness += slownessGain * (ratio - m_slowness);
    }
}

void Backend::recordFailure()
{
    auto now = m_loop.now();
    auto remaining = Decisions::decay(now - m_statisticsUpdatedAt, statisticsDecayTime);
    m_failureWeight = m_failureWeight * remaining + 1;
    m_answerWeight *= remaining;
    m_statisticsUpdatedAt = now;
}

double Backend::failureShare(Common::TimePoint now) const
{
    auto remaining = Decisions::decay(now - m_statisticsUpdatedAt, statisticsDecayTime);
    return m_failureWeight * remaining / (priorAnswerWeight + (m_failureWeight + m_answerWeight) * remaining);
}

Decisions::ServerSignal Backend::signal(Common::TimePoint now) const
{
    Decisions::ServerSignal signal;
    signal.slots = std::max(1, m_record.slots);
    signal.unreported = m_inFlight;
    if (m_report) {
        auto weight = Decisions::decay(now - m_report->at, reportDecayTime);
        signal.running = static_cast<int>(std::lround(m_report->running * weight));
        signal.waiting = static_cast<int>(std::lround(m_report->waiting * weight));
        signal.slots = m_report->slots;
        signal.workFactor = 1 + (m_report->workFactor - 1) * weight;
        signal.unreported = m_unreported;
    }
    signal.slowness = 1 + (m_slowness - 1) * Decisions::decay(now - m_statisticsUpdatedAt, statisticsDecayTime);
    signal.failureShare = failureShare(now);
    signal.sameDomain = m_record.failureDomain == m_options.failureDomain;
    signal.healthy = m_healthy;
    signal.cold = now < m_coldUntil;
    return signal;
}

}
