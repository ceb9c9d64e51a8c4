#include "Decisions/Shutdown.h"

#include <algorithm>

namespace Decisions {

namespace {

    // Of the slowest calls to the expected time: a busy host makes a server that much slower.
    constexpr int slowestToExpected = 4;
    // For the caller to read the response.
    constexpr auto deliveryTime = std::chrono::milliseconds(200);

}

Shutdown::Shutdown(const ShutdownOptions& options)
    : m_options(options)
{
}

void Shutdown::begin(Common::TimePoint now)
{
    if (m_phase != ShutdownPhase::Serving)
        return;
    m_startTime = now;
    m_phase = ShutdownPhase::Leaving;
}

void Shutdown::force()
{
    m_forced = true;
}

ShutdownPhase Shutdown::advance(Common::TimePoint now, int callsInFlight, int connections)
{
    if (m_phase == ShutdownPhase::Serving || m_phase == ShutdownPhase::Stopped || m_phase == ShutdownPhase::Forced)
        return m_phase;
    auto elapsed = now - m_startTime;
    // Idle connections may be closed at any time, so they do not make a shutdown forced.
    if (m_forced || elapsed >= m_options.limit)
        return m_phase = callsInFlight == 0 ? ShutdownPhase::Stopped : ShutdownPhase::Forced;
    if (m_phase == ShutdownPhase::Leaving && elapsed >= m_options.directoryTtl)
        m_phase = ShutdownPhase::Closing;
    if (m_phase == ShutdownPhase::Closing && elapsed >= m_options.directoryTtl + m_options.closeGrace)
        m_phase = ShutdownPhase::Draining;
    if (m_phase == ShutdownPhase::Draining && callsInFlight == 0 && connections == 0)
        m_phase = ShutdownPhase::Stopped;
    return m_phase;
}

bool completesWithin(Common::Duration timeLeft, const UnsentCall& call)
{
    auto needed = call.isWhole ? std::min(call.allowed, slowestToExpected * call.expected) : call.allowed;
    return needed + deliveryTime <= timeLeft;
}

}
