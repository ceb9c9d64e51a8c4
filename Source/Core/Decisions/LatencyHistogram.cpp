#include "Decisions/LatencyHistogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Decisions {

void LatencyHistogram::add(Common::Duration duration)
{
    constexpr std::uint32_t halveCountsAt = 2048;
    auto us = std::max(1.0, std::chrono::duration<double, std::micro>(duration).count());
    auto index = static_cast<std::size_t>(std::log2(us) * bucketsPerOctave);
    ++m_counts[std::min(index, m_counts.size() - 1)];
    if (++m_total < halveCountsAt)
        return;
    for (auto& count : m_counts)
        count /= 2;
    m_total = std::accumulate(m_counts.begin(), m_counts.end(), std::uint32_t { 0 });
}

void LatencyHistogram::merge(const LatencyHistogram& other)
{
    for (std::size_t i = 0; i < m_counts.size(); ++i)
        m_counts[i] += other.m_counts[i];
    m_total += other.m_total;
}

std::optional<Common::Duration> LatencyHistogram::quantile(double q, std::uint32_t minSamples) const
{
    if (m_total < std::max<std::uint32_t>(minSamples, 1))
        return std::nullopt;
    auto rank = q * m_total;
    double cumulative = 0;
    std::size_t index = 0;
    while (index + 1 < m_counts.size() && (cumulative += m_counts[index]) < rank)
        ++index;
    constexpr double usPerMs = 1000;
    return Common::fromMilliseconds(std::exp2(static_cast<double>(index + 1) / bucketsPerOctave) / usPerMs);
}

}
