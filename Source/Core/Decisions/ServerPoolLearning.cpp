#include <algorithm>
#include <utility>

#include "Decisions/ServerPool.h"

namespace Decisions {

namespace {

    // A server is ejected as slow when its latency has been an outlier for this long, with at least this many samples.
    constexpr Common::Duration slownessHoldTime = std::chrono::milliseconds(500);
    constexpr int slownessMinSamples = 5;
    // Weight of a new load report in the pool's mean load per slot.
    constexpr double loadGain = 0.02;
    // Each update moves the baseline latency up or down by this factor, so that it settles near the median.
    constexpr double medianStepFactor = 1.01;

}

void ServerPool::learnLatency(Server& server, const OpenRequest& request, const AttemptEnd& end, Common::TimePoint now)
{
    auto ms = Common::toMilliseconds(now - request.sentAt);
    auto good = healthSignal(end, false) == HealthSignal::Good;
    if (good) {
        server.lastResponseAt = now;
        server.latestAnsweredSentAt = std::max(server.latestAnsweredSentAt, request.sentAt);
    }
    // An attempt that was given up would have taken at least this long, so its time is learnt only if above the expected one.
    auto abandoned = end.stage == AttemptStage::Sent && (end.fault == AttemptFault::TimedOut || end.fault == AttemptFault::Cancelled);
    auto unloaded = ms / request.loadFactor;
    if (good || (abandoned && unloaded > server.answerTime.expectedMs(now, m_baseline.latencyMs)))
        server.answerTime.learn(unloaded, now, m_baseline.latencyMs);
}

void ServerPool::learnHealth(Server& server, HealthSignal signal, Common::TimePoint now)
{
    server.failures.add(signal, now);
    if (signal == HealthSignal::Refused)
        server.drain.observeProcessGone();
    if (signal != HealthSignal::None && signal != HealthSignal::Good && server.failures.limitReached())
        eject(server, signal == HealthSignal::Refused ? EjectionReason::Refused : EjectionReason::Failures, now);
}

void ServerPool::learnLoad(Server& server, const LoadReport& report, Common::TimePoint sentAt, Common::TimePoint now)
{
    if (report.draining) {
        observeDraining(server, now);
        return;
    }
    if (report.slots > 0)
        server.slots = report.slots;
    server.report = report;
    server.reportedAt = now;
    m_baseline.loadPerSlot += loadGain * (static_cast<double>(report.inFlight) / server.slots - m_baseline.loadPerSlot);
    auto wasLeaving = server.leaving();
    if (!server.drain.observeLive(sentAt, now, incarnationClock()))
        return;
    m_leavingCount -= wasLeaving && !server.leaving();
    server.slowStart.begin(now);
    server.failures.clear();
    syncChoice(server);
    queueHint(HintKind::Live, server);
    recordEvent(PoolEventKind::Live, server);
}

void ServerPool::observeDraining(Server& server, Common::TimePoint now)
{
    auto wasLeaving = server.leaving();
    if (!server.drain.observeDraining(now, incarnationClock()))
        return;
    m_leavingCount += !wasLeaving;
    syncChoice(server);
    queueHint(HintKind::Draining, server);
    recordEvent(PoolEventKind::Draining, server);
    enforceEjectionLimit(now);
}

void ServerPool::runMaintenance(Common::TimePoint now)
{
    while (!m_ejected.empty() && m_ejected.begin()->first.first <= now)
        readmit(*m_ejected.begin()->second, now);
    if (m_options.policy != Records::Policy::Adaptive || m_choice.servers().empty())
        return;
    // One server at each selection or load probe, so that the cost does not grow with the pool.
    auto& server = *m_choice.servers()[m_maintenanceCursor++ % m_choice.servers().size()];
    updateBaseline(server, now);
    checkSlowness(server, now);
}

void ServerPool::updateBaseline(const Server& server, Common::TimePoint now)
{
    if (server.answerTime.samples() == 0)
        return;
    auto ms = server.answerTime.expectedMs(now, m_baseline.latencyMs);
    // Moving by one fixed factor towards each server's latency in turn converges to the median.
    if (!std::exchange(m_baselineKnown, true))
        m_baseline.latencyMs = ms;
    else
        m_baseline.latencyMs *= ms > m_baseline.latencyMs ? medianStepFactor : 1 / medianStepFactor;
}

void ServerPool::checkSlowness(Server& server, Common::TimePoint now)
{
    if (isStuck(oldestOpenRequestAgeMs(server, now), m_baseline.latencyMs)) {
        eject(server, EjectionReason::Stuck, now);
        return;
    }
    auto slow = server.answerTime.samples() >= slownessMinSamples
        && isLatencyOutlier(server.answerTime.expectedMs(now, m_baseline.latencyMs), m_baseline.latencyMs);
    if (!slow) {
        server.slowSince = {};
        return;
    }
    if (server.slowSince == Common::TimePoint())
        server.slowSince = now;
    if (now - server.slowSince >= slownessHoldTime)
        eject(server, EjectionReason::Slow, now);
}

void ServerPool::eject(Server& server, EjectionReason reason, Common::TimePoint now)
{
    if (!server.eligible() || m_ejected.size() >= maxEjected(m_presentCount - m_leavingCount))
        return;
    auto& ejection = server.ejection;
    ejection.consecutive = isRepeatedEjection(ejection, now) ? ejection.consecutive + 1 : 1;
    ejection.ejected = true;
    ejection.reason = reason;
    ejection.until = now + ejectionDuration(ejection.consecutive, Common::randomUnit(m_hooks));
    m_ejected.emplace(std::pair(ejection.until, server.id), &server);
    syncChoice(server);
    queueHint(HintKind::Ejected, server);
    recordEvent(PoolEventKind::Ejected, server, reason);
}

void ServerPool::readmit(Server& server, Common::TimePoint now)
{
    m_ejected.erase({ server.ejection.until, server.id });
    server.ejection.ejected = false;
    server.ejection.until = now;
    server.failures.clear();
    server.slowSince = {};
    // Requests still open from before the ejection must not eject the server again at once.
    server.latestAnsweredSentAt = now;
    server.slowStart.begin(now);
    syncChoice(server);
    recordEvent(PoolEventKind::Returned, server);
}

void ServerPool::enforceEjectionLimit(Common::TimePoint now)
{
    // A leaving server needs no ejection, and fewer may be ejected from a smaller pool.
    std::erase_if(m_ejected, [](const auto& item) {
        auto leaving = item.second->leaving();
        if (leaving)
            item.second->ejection.ejected = false;
        return leaving;
    });
    while (m_ejected.size() > maxEjected(m_presentCount - m_leavingCount))
        readmit(*m_ejected.begin()->second, now);
}

}
