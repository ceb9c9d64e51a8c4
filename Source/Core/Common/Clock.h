#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace Common {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Where a decision gets time and randomness from, so that a recorded run can be repeated.
struct Hooks {
    std::function<TimePoint()> now;
    std::function<std::uint64_t()> random; // uniform over 64 bits
};

// The machine's monotonic clock and a generator a thread.
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
