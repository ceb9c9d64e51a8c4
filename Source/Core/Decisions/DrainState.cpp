#include "Decisions/DrainState.h"

#include <algorithm>
#include <utility>

namespace Decisions {

namespace {

    constexpr auto drainCalledOffAfter = std::chrono::seconds(30);

}

bool DrainState::sawDraining(Common::TimePoint now, std::uint64_t clock)
{
    m_lastSign = now;
    m_gone = false;
    if (m_draining)
        return false;
    m_draining = true;
    renumber(clock);
    return true;
}

bool DrainState::sawLive(Common::TimePoint sentAt, Common::TimePoint now, std::uint64_t clock)
{
    // An answer to something sent before the sign may have been on its way when the server began to leave.
    if (!m_draining || sentAt <= m_lastSign)
        return false;
    if (!m_gone && now - m_lastSign < drainCalledOffAfter)
        return false;
    m_draining = false;
    m_gone = false;
    renumber(clock);
    return true;
}

void DrainState::sawGone()
{
    m_gone = m_draining;
}

bool DrainState::applyHint(HintKind kind, std::uint64_t incarnation, Common::TimePoint now)
{
    if (incarnation < m_incarnation)
        return false;
    if (kind == HintKind::Draining) {
        m_incarnation = incarnation;
        m_lastSign = now;
        m_gone = false;
        return !std::exchange(m_draining, true);
    }
    if (kind != HintKind::Live || incarnation == m_incarnation)
        return false;
    m_incarnation = incarnation;
    m_gone = false;
    return std::exchange(m_draining, false);
}

void DrainState::renumber(std::uint64_t clock)
{
    // Greater than any number seen, so that the finding beats what it corrects; near the time, so that an entry without
    // memory does not start below the others.
    m_incarnation = std::max(m_incarnation + 1, clock);
}

}
