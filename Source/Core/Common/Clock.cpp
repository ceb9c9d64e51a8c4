#include "Common/Clock.h"

#include <algorithm>
#include <cmath>
#include <random>

#include <ctime>

namespace Common {

Hooks systemHooks()
{
    return {
        .now = [] { return TimePoint(std::chrono::steady_clock::now()); },
        .random = [] {
            thread_local std::mt19937_64 generator(std::random_device {}());
            return generator(); },
        .bootTime = [] {
            timespec time {};
            // Without a boot clock, ages would all be zero.
            if (clock_gettime(CLOCK_BOOTTIME, &time) != 0)
                return TimePoint(std::chrono::steady_clock::now());
            return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)); },
    };
}

TimePoint bootTime(const Hooks& hooks)
{
    return hooks.bootTime ? hooks.bootTime() : hooks.now();
}

std::uint64_t randomBelow(const Hooks& hooks, std::uint64_t bound)
{
    // The modulo bias is below 1e-12 for the pool sizes in use.
    return bound == 0 ? 0 : hooks.random() % bound;
}

double randomUnit(const Hooks& hooks)
{
    constexpr int mantissaBits = 53;
    return static_cast<double>(hooks.random() >> (64 - mantissaBits)) / static_cast<double>(1ULL << mantissaBits);
}

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Duration fromMilliseconds(double ms)
{
    // 31 years, so that a sum with the present time is still a time.
    constexpr double maxMs = 1e12;
    auto bounded = std::isnan(ms) ? 0.0 : std::clamp(ms, -maxMs, maxMs);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(bounded));
}

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}
