#include "Decisions/AnswerTime.h"

#include <algorithm>

#include "Decisions/Decay.h"

namespace Decisions {

namespace {

    // Weights of a new sample in the averages.
    constexpr double recentGain = 0.1;
    constexpr double longTermGain = 0.05;
    constexpr auto recentDecayTime = std::chrono::milliseconds(300);
    constexpr auto longTermDecayTime = std::chrono::seconds(10);
    constexpr int maxSamples = 1'000'000; // the count saturates here

}

void AnswerTime::learn(double ms, Common::TimePoint now, double usualMs)
{
    if (m_samples == 0) {
        m_recentMs = ms;
        m_longTermMs = ms;
    } else {
        m_recentMs = expectedMs(now, usualMs);
        m_longTermMs = longTermMs(now, usualMs);
        m_recentMs += recentGain * (ms - m_recentMs);
        m_longTermMs += std::max(longTermGain, 1.0 / (m_samples + 1)) * (ms - m_longTermMs);
    }
    m_samples = std::min(m_samples + 1, maxSamples);
    m_sampledAt = now;
}

double AnswerTime::expectedMs(Common::TimePoint now, double usualMs) const
{
    if (m_samples == 0)
        return usualMs;
    auto base = longTermMs(now, usualMs);
    return base + (m_recentMs - base) * decay(now - m_sampledAt, recentDecayTime);
}

double AnswerTime::longTermMs(Common::TimePoint now, double usualMs) const
{
    if (m_samples == 0)
        return usualMs;
    return usualMs + (m_longTermMs - usualMs) * decay(now - m_sampledAt, longTermDecayTime);
}

}
