#include <algorithm>
#include <utility>

#include "Decisions/ServerPool.h"

namespace Decisions {

namespace {

    constexpr Common::Duration slowLongEnough = std::chrono::milliseconds(500);
    constexpr int slownessSamples = 5;
    constexpr double loadGain = 0.02;
    constexpr double medianStep = 1.01;

}

void ServerPool::learnTime(Server& server, const OpenRequest& request, const AttemptEnd& end, Common::TimePoint now)
{
    auto ms = Common::toMilliseconds(now - request.sentAt);
    auto good = healthSign(end, false) == HealthSign::Good;
    if (good) {
        server.heardAt = now;
        server.latestAnsweredSentAt = std::max(server.latestAnsweredSentAt, request.sentAt);
    }
    // An attempt given up has taken at least this long: worth learning only where that is more than expected.
    auto givenUp = end.stage == AttemptStage::Sent && (end.fault == AttemptFault::TimedOut || end.fault == AttemptFault::Cancelled);
    auto unloaded = ms / request.loadFactor;
    if (good || (givenUp && unloaded > server.answerTime.expectedMs(now, m_usual.answerMs)))
        server.answerTime.learn(unloaded, now, m_usual.answerMs);
}

void ServerPool::learnHealth(Server& server, HealthSign sign, Common::TimePoint now)
{
    server.failures.add(sign, now);
    if (sign == HealthSign::Refused)
        server.drain.sawGone();
    if (sign != HealthSign::None && sign != HealthSign::Good && server.failures.enough())
        eject(server, sign == HealthSign::Refused ? EjectionReason::Refused : EjectionReason::Failures, now);
}

void ServerPool::learnReport(Server& server, const LoadReport& report, Common::TimePoint sentAt, Common::TimePoint now)
{
    if (report.draining) {
        sawDraining(server, now);
        return;
    }
    if (report.slots > 0)
        server.slots = report.slots;
    server.report = report;
    server.reportedAt = now;
    m_usual.loadPerSlot += loadGain * (static_cast<double>(report.inFlight) / server.slots - m_usual.loadPerSlot);
    auto left = server.leaving();
    if (!server.drain.sawLive(sentAt, now, incarnationClock()))
        return;
    m_leaving -= left && !server.leaving();
    server.slowStart.begin(now);
    server.failures.clear();
    place(server);
    hint(HintKind::Live, server);
    tell(PoolEventKind::Live, server);
}

void ServerPool::sawDraining(Server& server, Common::TimePoint now)
{
    auto left = server.leaving();
    if (!server.drain.sawDraining(now, incarnationClock()))
        return;
    m_leaving += !left;
    place(server);
    hint(HintKind::Draining, server);
    tell(PoolEventKind::Draining, server);
    keepShare(now);
}

void ServerPool::sweep(Common::TimePoint now)
{
    while (!m_ejected.empty() && m_ejected.begin()->first.first <= now)
        giveBack(*m_ejected.begin()->second, now);
    if (m_options.policy != Records::Policy::Adaptive || m_choice.servers().empty())
        return;
    // One server at each choice: the cost does not grow with the pool.
    auto& server = *m_choice.servers()[m_sweepCursor++ % m_choice.servers().size()];
    renewUsual(server, now);
    checkSlowness(server, now);
}

void ServerPool::renewUsual(const Server& server, Common::TimePoint now)
{
    if (server.answerTime.samples() == 0)
        return;
    auto ms = server.answerTime.expectedMs(now, m_usual.answerMs);
    // Steps of one size towards each server in turn settle at the median.
    if (!std::exchange(m_usualKnown, true))
        m_usual.answerMs = ms;
    else
        m_usual.answerMs *= ms > m_usual.answerMs ? medianStep : 1 / medianStep;
}

void ServerPool::checkSlowness(Server& server, Common::TimePoint now)
{
    if (stuck(openAgeMs(server, now), m_usual.answerMs)) {
        eject(server, EjectionReason::Stuck, now);
        return;
    }
    auto slow = server.answerTime.samples() >= slownessSamples && outlierSlow(server.answerTime.expectedMs(now, m_usual.answerMs), m_usual.answerMs);
    if (!slow) {
        server.slowSince = {};
        return;
    }
    if (server.slowSince == Common::TimePoint())
        server.slowSince = now;
    if (now - server.slowSince >= slowLongEnough)
        eject(server, EjectionReason::Slow, now);
}

void ServerPool::eject(Server& server, EjectionReason reason, Common::TimePoint now)
{
    if (!server.takesWork() || m_ejected.size() >= mostEjected(m_present - m_leaving))
        return;
    auto& ejection = server.ejection;
    ejection.times = ejectedAgain(ejection, now) ? ejection.times + 1 : 1;
    ejection.ejected = true;
    ejection.reason = reason;
    ejection.until = now + ejectionTime(ejection.times, Common::randomUnit(m_hooks));
    m_ejected.emplace(std::pair(ejection.until, server.id), &server);
    place(server);
    hint(HintKind::Ejected, server);
    tell(PoolEventKind::Ejected, server, reason);
}

void ServerPool::giveBack(Server& server, Common::TimePoint now)
{
    m_ejected.erase({ server.ejection.until, server.id });
    server.ejection.ejected = false;
    server.ejection.until = now;
    server.failures.clear();
    server.slowSince = {};
    // Requests that hung before must not eject it again at once.
    server.latestAnsweredSentAt = now;
    server.slowStart.begin(now);
    place(server);
    tell(PoolEventKind::Returned, server);
}

void ServerPool::keepShare(Common::TimePoint now)
{
    // A server that leaves needs no ejection, and a smaller pool can spare fewer.
    std::erase_if(m_ejected, [](const auto& item) {
        auto leaving = item.second->leaving();
        if (leaving)
            item.second->ejection.ejected = false;
        return leaving;
    });
    while (m_ejected.size() > mostEjected(m_present - m_leaving))
        giveBack(*m_ejected.begin()->second, now);
}

}
