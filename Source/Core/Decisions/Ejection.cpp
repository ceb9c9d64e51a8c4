#include "Decisions/Ejection.h"

#include <algorithm>

#include "Decisions/Decay.h"

namespace Decisions {

namespace {

    constexpr int consecutiveFailureLimit = 4;
    // A refused connection counts as this many consecutive failures.
    constexpr int refusalWeight = 2;
    // Decayed ratio of failures above which a server is ejected, once there are enough samples.
    constexpr double failureRatioLimit = 0.5;
    constexpr double minRatioSamples = 10;
    constexpr auto failureRatioDecayTime = std::chrono::seconds(5);
    constexpr auto penaltyDecayTime = std::chrono::seconds(1);
    // A server is suspect while its latency penalty exceeds 1 by more than this.
    constexpr double suspectPenaltyMargin = 0.1;
    constexpr Common::Duration baseEjectionTime = std::chrono::seconds(1);
    constexpr int maxEjectionDoublings = 6;
    constexpr double ejectionJitter = 0.25;
    // An ejection this soon after the end of the last one counts as consecutive.
    constexpr auto consecutiveEjectionWindow = std::chrono::seconds(60);
    constexpr std::size_t maxEjectedPercent = 30;
    // Latency above which a server is an outlier: a multiple of the pool's baseline, and a minimum.
    constexpr double outlierFactor = 8;
    constexpr double outlierMinMs = 20;
    // The same for the age of a server's oldest open request.
    constexpr double stuckFactor = 20;
    constexpr double stuckMinMs = 500;
    constexpr int minServerErrorStatus = 500;

}

HealthSignal healthSignal(const AttemptEnd& end, bool overdue)
{
    if (end.stage == AttemptStage::BeforeConnect || end.fault == AttemptFault::Cancelled || end.fault == AttemptFault::TooLarge)
        return HealthSignal::None;
    if (end.stage == AttemptStage::Answered) {
        if (end.provenNotRun)
            return HealthSignal::None;
        // A server that fails at once has the lowest latency of all, so an error must not count as a good answer.
        return end.status >= minServerErrorStatus ? HealthSignal::Failed : HealthSignal::Good;
    }
    if (end.stage == AttemptStage::BeforeSend)
        return HealthSignal::None; // the server had closed an idle kept-alive connection, which is no fault
    if (end.fault == AttemptFault::TimedOut)
        return overdue ? HealthSignal::Failed : HealthSignal::None;
    return end.fault == AttemptFault::Refused ? HealthSignal::Refused : HealthSignal::Failed;
}

void FailureHistory::add(HealthSignal signal, Common::TimePoint now)
{
    if (signal == HealthSignal::None)
        return;
    auto remaining = decay(now - m_at, failureRatioDecayTime);
    m_good *= remaining;
    m_failed *= remaining;
    m_at = now;
    if (signal == HealthSignal::Good) {
        m_consecutive = 0;
        m_good += 1;
        return;
    }
    m_consecutive += signal == HealthSignal::Refused ? refusalWeight : 1;
    m_failed += 1;
}

void FailureHistory::suspectByHint(Common::TimePoint now)
{
    m_consecutive = std::max(m_consecutive, consecutiveFailureLimit / 2);
    m_at = now;
}

void FailureHistory::clear()
{
    *this = {};
}

bool FailureHistory::limitReached() const
{
    auto samples = m_good + m_failed;
    return m_consecutive >= consecutiveFailureLimit || (samples >= minRatioSamples && m_failed > failureRatioLimit * samples);
}

double FailureHistory::penalty(Common::TimePoint now) const
{
    return m_consecutive == 0 ? 1 : 1 + m_consecutive * decay(now - m_at, penaltyDecayTime);
}

bool FailureHistory::isSuspect(Common::TimePoint now) const
{
    return penalty(now) > 1 + suspectPenaltyMargin;
}

Common::Duration ejectionDuration(int consecutive, double jitter)
{
    auto base = baseEjectionTime * (1 << std::clamp(consecutive - 1, 0, maxEjectionDoublings));
    return Common::Duration(static_cast<Common::Duration::rep>(static_cast<double>(base.count()) * (1 + ejectionJitter * jitter)));
}

bool isRepeatedEjection(const EjectionState& state, Common::TimePoint now)
{
    return state.consecutive > 0 && now - state.until < consecutiveEjectionWindow;
}

std::size_t maxEjected(std::size_t servers)
{
    return servers * maxEjectedPercent / 100;
}

bool isLatencyOutlier(double latencyMs, double baselineMs)
{
    return latencyMs > std::max(outlierFactor * baselineMs, outlierMinMs);
}

bool isStuck(double oldestOpenRequestAgeMs, double baselineMs)
{
    return oldestOpenRequestAgeMs > std::max(stuckFactor * baselineMs, stuckMinMs);
}

}
