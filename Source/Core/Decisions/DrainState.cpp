#include "Decisions/DrainState.h"

#include <algorithm>
#include <utility>

namespace Decisions {

namespace {

    constexpr auto drainCancelledAfter = std::chrono::seconds(30);

}

bool DrainState::observeDraining(Common::TimePoint now, std::uint64_t clock)
{
    m_lastDrainingAt = now;
    m_processGone = false;
    if (m_draining)
        return false;
    m_draining = true;
    advanceIncarnation(clock);
    return true;
}

bool DrainState::observeLive(Common::TimePoint sentAt, Common::TimePoint now, std::uint64_t clock)
{
    // An answer to a request sent before the last sign of draining may have been in transit when the drain began.
    if (!m_draining || sentAt <= m_lastDrainingAt)
        return false;
    if (!m_processGone && now - m_lastDrainingAt < drainCancelledAfter)
        return false;
    m_draining = false;
    m_processGone = false;
    advanceIncarnation(clock);
    return true;
}

void DrainState::observeProcessGone()
{
    m_processGone = m_draining;
}

bool DrainState::applyHint(HintKind kind, std::uint64_t incarnation, Common::TimePoint now)
{
    if (incarnation < m_incarnation)
        return false;
    if (kind == HintKind::Draining) {
        m_incarnation = incarnation;
        m_lastDrainingAt = now;
        m_processGone = false;
        return !std::exchange(m_draining, true);
    }
    if (kind != HintKind::Live || incarnation == m_incarnation)
        return false;
    m_incarnation = incarnation;
    m_processGone = false;
    return std::exchange(m_draining, false);
}

void DrainState::advanceIncarnation(std::uint64_t clock)
{
    // Higher than any incarnation seen, so that the change overrides what it corrects. At least the wall clock, so that an
    // entry that has restarted does not begin below the others.
    m_incarnation = std::max(m_incarnation + 1, clock);
}

}
