#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "Common/Clock.h"

namespace Decisions {

// Histogram of recent response times in logarithmic buckets about 9% wide. Older samples lose weight as all counts are
// halved from time to time. Constant memory. Not thread-safe.
class LatencyHistogram {
public:
    void add(Common::Duration);
    // Adds all samples of another histogram.
    void merge(const LatencyHistogram&);
    std::uint32_t samples() const { return m_total; }
    // Upper bound of the bucket that holds quantile `q`, in [0, 1]; no value before `minSamples` samples.
    std::optional<Common::Duration> quantile(double q, std::uint32_t minSamples) const;

private:
    static constexpr std::size_t bucketsPerOctave = 8;
    static constexpr std::size_t octaves = 24; // from 1 us to 16 s; longer times count in the last bucket

    std::array<std::uint32_t, bucketsPerOctave * octaves> m_counts {};
    std::uint32_t m_total = 0;
};

}
