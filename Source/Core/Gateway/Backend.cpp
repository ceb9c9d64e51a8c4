#include "Gateway/Backend.h"

#include <algorithm>
#include <cmath>

#include "Decisions/Decay.h"

namespace Gateway {

namespace {

    // Free connections are given up well before the server's own limit, which counts from its last answer.
    constexpr double shareOfIdleLimit = 0.7;
    // Where a server tells no limit.
    constexpr auto usualIdleLimit = std::chrono::seconds(4);
    // How long a failure counts: faults of servers last seconds.
    constexpr auto failureMemory = std::chrono::seconds(4);
    // Weight of the newest answer in the learned slowness.
    constexpr double slownessGain = 0.3;
    constexpr double maxSlowness = 8;
    // Questions without an answer until a server is left alone for a while, and for how long.
    constexpr int silencesToSuspect = 2;
    constexpr auto suspectTime = std::chrono::milliseconds(1500);
    // Unknown servers count as if they had answered this often.
    constexpr double priorAnswers = 2;
    // A report older than this says little of the load now.
    constexpr auto reportMemory = std::chrono::milliseconds(300);

}

Backend::Backend(Net::EventLoop& loop, ServerRecord record, BackendOptions options)
    : m_loop(loop)
    , m_record(std::move(record))
    , m_options(std::move(options))
    , m_coldUntil(loop.now() + std::chrono::milliseconds(m_record.warmupLeftMs))
{
}

void Backend::update(const ServerRecord& record)
{
    auto isNew = record.startedMs != m_record.startedMs || record.address != m_record.address;
    m_record = record;
    m_misdirected = m_misdirected && !isNew;
    m_coldUntil = std::max(m_coldUntil, m_loop.now() + std::chrono::milliseconds(record.warmupLeftMs));
    if (isNew)
        forget();
    if (!isUsable())
        m_free.clear();
}

void Backend::forget()
{
    m_free.clear();
    m_report.reset();
    m_slowness = 1;
    m_failures = m_answers = 0;
    m_silences = 0;
    m_healthy = true;
    m_suspectUntil = {};
    m_coldUntil = m_loop.now() + std::chrono::milliseconds(m_record.warmupLeftMs);
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

bool Backend::isStale(const Net::ClientConnection& connection, Common::TimePoint now) const
{
    Common::Duration limit = usualIdleLimit;
    if (auto seconds = connection.idleTimeoutS())
        limit = Common::fromMilliseconds(shareOfIdleLimit * 1000 * *seconds);
    return now - connection.lastUsed() > limit;
}

void Backend::sweep(Common::TimePoint now)
{
    std::erase_if(m_free, [&](const auto& it) { return it->isClosed() || isStale(*it, now); });
}

Backend::Taken Backend::take(Common::Duration freshWithin)
{
    auto now = m_loop.now();
    while (!m_free.empty()) {
        auto connection = m_free.back();
        m_free.pop_back();
        if (connection->isFree() && !isStale(*connection, now) && now - connection->lastUsed() <= freshWithin)
            return { .connection = connection, .kept = true };
    }
    ++m_opened;
    return { .connection = Net::ClientConnection::open(m_loop, m_record.address, m_options.client), .kept = false };
}

void Backend::release(const std::shared_ptr<Net::ClientConnection>& connection)
{
    if (m_busy.erase(connection) == 0 || !isUsable() || !connection->isFree())
        return;
    std::weak_ptr<Backend> weak = weak_from_this();
    auto* raw = connection.get();
    connection->onIdleEnd([weak, raw] {
        if (auto self = weak.lock())
            std::erase_if(self->m_free, [&](const auto& it) { return it.get() == raw; });
    });
    m_free.push_back(connection);
    if (m_free.size() > static_cast<std::size_t>(std::max(1, m_options.maxConnections)))
        m_free.pop_front();
}

std::shared_ptr<Net::ClientConnection> Backend::send(std::string bytes, bool expectsBody, Common::Duration limit, Common::Duration freshWithin, Net::ClientHandlers handlers)
{
    auto connection = take(freshWithin).connection;
    m_busy.insert(connection);
    std::weak_ptr<Backend> weak = weak_from_this();
    std::weak_ptr<Net::ClientConnection> weakConnection = connection;
    auto settle = [weak, weakConnection] {
        auto self = weak.lock();
        auto done = weakConnection.lock();
        if (self && done)
            self->release(done);
    };
    connection->send(std::move(bytes), expectsBody, limit,
        { .answered = [settle, answered = std::move(handlers.answered)](Net::ResponseHead&& head) {
             settle();
             answered(std::move(head)); },
            .failed = [settle, failed = std::move(handlers.failed)](Net::ClientFailure failure) {
                settle();
                failed(failure); },
            .belongs = std::move(handlers.belongs) });
    return connection;
}

void Backend::abandon(const std::shared_ptr<Net::ClientConnection>& connection)
{
    connection->close();
    m_busy.erase(connection);
}

void Backend::probe(Common::Duration limit, const std::function<void(const ProbeAnswer&)>& done)
{
    ask(limit, true, done);
}

void Backend::ask(Common::Duration limit, bool mayReopen, const std::function<void(const ProbeAnswer&)>& done)
{
    auto wasFree = !m_free.empty();
    Net::Request request { .method = "GET", .target = m_options.healthPath, .headers = { { "Host", m_record.address } }, .body = {}, .keepAlive = true };
    // Weak: the backend owns the connection that owns these handlers.
    std::weak_ptr<Backend> weak = weak_from_this();
    // A late second answer to a request carries that request's id; answers to questions carry none.
    auto belongs = [name = m_options.headers->requestId](const Net::ResponseHead& head) { return !Net::findHeader(head.response.headers, name); };
    send(Net::toBytes(request), true, limit, Common::Duration::max(),
        { .answered = [weak, done](Net::ResponseHead&& head) {
             auto self = weak.lock();
             if (!self)
                 return;
             auto id = Net::findHeader(head.response.headers, self->m_options.headers->instanceId);
             self->m_silences = 0;
             self->m_suspectUntil = {};
             if (id && *id != self->m_record.id) {
                 self->setMisdirected();
                 return done({ .answered = true, .healthy = false, .reported = false });
             }
             self->m_healthy = head.response.status == Net::HttpStatus::Ok;
             auto before = self->m_report ? self->m_report->at : Common::TimePoint();
             self->noteReport(head.response.headers);
             auto reported = self->m_report && self->m_report->at > before;
             done({ .answered = true, .healthy = self->m_healthy, .reported = reported }); },
            .failed = [weak, done, mayReopen, wasFree, limit](Net::ClientFailure failure) {
                auto self = weak.lock();
                if (!self)
                    return;
                // The server may have closed a kept connection at the same moment.
                auto wasClosed = failure.kind == Net::FailureKind::Reset || failure.kind == Net::FailureKind::Closed;
                if (mayReopen && wasFree && wasClosed && self->isUsable()) {
                    self->m_free.clear();
                    return self->ask(limit, false, done);
                }
                self->noteSilence();
                done({}); },
            .belongs = belongs });
}

void Backend::noteSilence()
{
    if (++m_silences >= silencesToSuspect)
        m_suspectUntil = m_loop.now() + suspectTime;
    // The other free connections have gone the same way.
    m_free.clear();
}

void Backend::noteReport(const Net::Headers& headers)
{
    auto text = Net::findHeader(headers, m_options.headers->load);
    auto report = text ? parseLoadReport(*text, m_loop.now()) : std::nullopt;
    if (!report)
        return;
    m_report = report;
    m_unreported = 0;
}

void Backend::endWork()
{
    m_inFlight = std::max(0, m_inFlight - 1);
    m_unreported = std::max(0, m_unreported - 1);
}

void Backend::noteAnswer(double tookMs, double expectedMs)
{
    auto now = m_loop.now();
    auto kept = Decisions::decay(now - m_learnedAt, failureMemory);
    m_failures *= kept;
    m_answers = m_answers * kept + 1;
    m_learnedAt = now;
    if (expectedMs > 0) {
        auto ratio = std::clamp(m_slowness * tookMs / expectedMs, 1 / maxSlowness, maxSlowness);
        m_slowness += slownessGain * (ratio - m_slowness);
    }
}

void Backend::noteFailure()
{
    auto now = m_loop.now();
    auto kept = Decisions::decay(now - m_learnedAt, failureMemory);
    m_failures = m_failures * kept + 1;
    m_answers *= kept;
    m_learnedAt = now;
}

double Backend::failureShare(Common::TimePoint now) const
{
    auto kept = Decisions::decay(now - m_learnedAt, failureMemory);
    return m_failures * kept / (priorAnswers + (m_failures + m_answers) * kept);
}

Decisions::ServerSignal Backend::signal(Common::TimePoint now) const
{
    Decisions::ServerSignal signal;
    signal.slots = std::max(1, m_record.slots);
    signal.unreported = m_inFlight;
    if (m_report) {
        auto weight = Decisions::decay(now - m_report->at, reportMemory);
        signal.running = static_cast<int>(std::lround(m_report->running * weight));
        signal.waiting = static_cast<int>(std::lround(m_report->waiting * weight));
        signal.slots = m_report->slots;
        signal.workFactor = 1 + (m_report->workFactor - 1) * weight;
        signal.unreported = m_unreported;
    }
    signal.slowness = 1 + (m_slowness - 1) * Decisions::decay(now - m_learnedAt, failureMemory);
    signal.failureShare = failureShare(now);
    signal.sameDomain = m_record.failureDomain == m_options.failureDomain;
    signal.healthy = m_healthy;
    signal.cold = now < m_coldUntil;
    return signal;
}

}
