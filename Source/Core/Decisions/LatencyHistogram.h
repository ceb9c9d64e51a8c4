#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "Common/Clock.h"

namespace Decisions {

// Recent answer times in logarithmic buckets, about 9% wide; older ones fade by halves. Constant memory. Not thread-safe.
class LatencyHistogram {
public:
    void add(Common::Duration);
    // The upper end of the bucket that holds quantile `q`; nothing before `minSamples` answers.
    std::optional<Common::Duration> quantile(double q, std::uint32_t minSamples) const;

private:
    static constexpr std::size_t bucketsPerOctave = 8;
    static constexpr std::size_t octaves = 24; // from 1 us to 16 s

    std::array<std::uint32_t, bucketsPerOctave * octaves> m_counts {};
    std::uint32_t m_total = 0;
};

}
