#pragma once

#include <atomic>
#include <cstdint>
#include <functional>

namespace Common {

// Hybrid logical clock: 48 bits of milliseconds since the epoch, 16 bits of a counter. A reading taken after a message was
// merged is greater than every reading the sender took before it sent it. Thread-safe.
class HybridClock {
public:
    explicit HybridClock(std::function<std::int64_t()> wallMs);

    // Greater than every reading before.
    std::uint64_t tick();
    // Takes in a reading that came with a message. Readings more than maxAheadMs ahead are left out: one machine with a wrong
    // clock must not drag all others along.
    void merge(std::uint64_t remote);

    static std::int64_t toMs(std::uint64_t reading) { return static_cast<std::int64_t>(reading >> counterBits); }
    static std::uint64_t fromMs(std::int64_t ms) { return static_cast<std::uint64_t>(ms) << counterBits; }

    static constexpr int counterBits = 16;
    static constexpr std::int64_t maxAheadMs = 600'000;

private:
    std::function<std::int64_t()> m_wallMs;
    std::atomic<std::uint64_t> m_last { 0 };
};

}
