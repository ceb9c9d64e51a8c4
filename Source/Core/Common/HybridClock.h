#pragma once

#include <atomic>
#include <cstdint>
#include <functional>

namespace Common {

// Hybrid logical clock. A timestamp has 48 bits of milliseconds since the Unix epoch and a 16-bit counter. A timestamp taken after
// merging the timestamp of a received message is greater than every timestamp that the sender took before sending it. Thread-safe.
class HybridClock {
public:
    explicit HybridClock(std::function<std::int64_t()> wallMs);

    // Returns a timestamp greater than every earlier one of this clock.
    std::uint64_t tick();
    // Advances the clock to a timestamp received in a message. Timestamps more than maxAheadMs ahead of the wall clock are ignored, so
    // that one machine with a wrong clock can't move the clocks of all others forward.
    void merge(std::uint64_t remote);

    static std::int64_t toMs(std::uint64_t timestamp) { return static_cast<std::int64_t>(timestamp >> counterBits); }
    static std::uint64_t fromMs(std::int64_t ms) { return static_cast<std::uint64_t>(ms) << counterBits; }

    static constexpr int counterBits = 16;
    static constexpr std::int64_t maxAheadMs = 600'000;

private:
    std::function<std::int64_t()> m_wallMs;
    std::atomic<std::uint64_t> m_last { 0 };
};

}
