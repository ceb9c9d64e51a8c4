#include "Decisions/Ejection.h"

#include <algorithm>

#include "Decisions/Decay.h"

namespace Decisions {

namespace {

    constexpr int failuresInARow = 4;
    constexpr int refusalWeight = 2;
    constexpr double failureRatio = 0.5;
    constexpr double fewestSamples = 10;
    constexpr auto ratioMemory = std::chrono::seconds(5);
    constexpr auto penaltyMemory = std::chrono::seconds(1);
    constexpr double suspicionLeft = 0.1;
    constexpr Common::Duration firstEjection = std::chrono::seconds(1);
    constexpr int mostDoublings = 6;
    constexpr double ejectionJitter = 0.25;
    constexpr auto successionGap = std::chrono::seconds(60);
    constexpr std::size_t ejectedPercent = 30;
    constexpr double outlierFactor = 8;
    constexpr double outlierFloorMs = 20;
    constexpr double stuckFactor = 20;
    constexpr double stuckFloorMs = 500;
    constexpr int firstServerError = 500;

}

HealthSign healthSign(const AttemptEnd& end, bool overdue)
{
    if (end.stage == AttemptStage::BeforeConnect || end.fault == AttemptFault::Cancelled || end.fault == AttemptFault::TooLarge)
        return HealthSign::None;
    if (end.stage == AttemptStage::Answered) {
        if (end.provenNotRun)
            return HealthSign::None;
        // Servers that fail fast answer soonest of all.
        return end.status >= firstServerError ? HealthSign::Failed : HealthSign::Good;
    }
    if (end.stage == AttemptStage::BeforeSend)
        return HealthSign::None; // a kept connection had been closed: no fault of the server's
    if (end.fault == AttemptFault::TimedOut)
        return overdue ? HealthSign::Failed : HealthSign::None;
    return end.fault == AttemptFault::Refused ? HealthSign::Refused : HealthSign::Failed;
}

void FailureEvidence::add(HealthSign sign, Common::TimePoint now)
{
    if (sign == HealthSign::None)
        return;
    auto left = decay(now - m_at, ratioMemory);
    m_good *= left;
    m_failed *= left;
    m_at = now;
    if (sign == HealthSign::Good) {
        m_inARow = 0;
        m_good += 1;
        return;
    }
    m_inARow += sign == HealthSign::Refused ? refusalWeight : 1;
    m_failed += 1;
}

void FailureEvidence::suspect(Common::TimePoint now)
{
    m_inARow = std::max(m_inARow, failuresInARow / 2);
    m_at = now;
}

void FailureEvidence::clear()
{
    *this = {};
}

bool FailureEvidence::enough() const
{
    auto samples = m_good + m_failed;
    return m_inARow >= failuresInARow || (samples >= fewestSamples && m_failed > failureRatio * samples);
}

double FailureEvidence::penalty(Common::TimePoint now) const
{
    return m_inARow == 0 ? 1 : 1 + m_inARow * decay(now - m_at, penaltyMemory);
}

bool FailureEvidence::suspicious(Common::TimePoint now) const
{
    return penalty(now) > 1 + suspicionLeft;
}

Common::Duration ejectionTime(int times, double unit)
{
    auto full = firstEjection * (1 << std::clamp(times - 1, 0, mostDoublings));
    return Common::Duration(static_cast<Common::Duration::rep>(static_cast<double>(full.count()) * (1 + ejectionJitter * unit)));
}

bool ejectedAgain(const EjectionState& state, Common::TimePoint now)
{
    return state.times > 0 && now - state.until < successionGap;
}

std::size_t mostEjected(std::size_t servers)
{
    return servers * ejectedPercent / 100;
}

bool outlierSlow(double answerMs, double usualMs)
{
    return answerMs > std::max(outlierFactor * usualMs, outlierFloorMs);
}

bool stuck(double openAgeMs, double usualMs)
{
    return openAgeMs > std::max(stuckFactor * usualMs, stuckFloorMs);
}

}
