#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace Common {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Injected sources of time and randomness, so that tests and replays are deterministic.
struct Hooks {
    std::function<TimePoint()> now;
    std::function<std::uint64_t()> random; // uniform over 64 bits
    // As now(), but counts the time for which the machine was suspended. Empty: now() does.
    std::function<TimePoint()> bootTime = {};
};

// Reads bootTime, or now if there is none.
TimePoint bootTime(const Hooks&);

// The system's monotonic clock and a random number generator per thread.
Hooks systemHooks();

// Uniform in [0, bound); 0 when bound is 0.
std::uint64_t randomBelow(const Hooks&, std::uint64_t bound);

// Uniform in [0, 1).
double randomUnit(const Hooks&);

double toMilliseconds(Duration);
Duration fromMilliseconds(double);

// Milliseconds since the Unix epoch.
std::int64_t wallMilliseconds();

}
