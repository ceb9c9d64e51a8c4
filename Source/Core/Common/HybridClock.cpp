#include "Common/HybridClock.h"

#include <algorithm>

namespace Common {

HybridClock::HybridClock(std::function<std::int64_t()> wallMs)
    : m_wallMs(std::move(wallMs))
{
}

std::uint64_t HybridClock::tick()
{
    auto wall = fromMs(m_wallMs());
    auto last = m_last.load();
    auto next = std::max(wall, last + 1);
    while (!m_last.compare_exchange_weak(last, next))
        next = std::max(wall, last + 1);
    return next;
}

void HybridClock::merge(std::uint64_t remote)
{
    if (toMs(remote) > m_wallMs() + maxAheadMs)
        return;
    auto last = m_last.load();
    while (last < remote && !m_last.compare_exchange_weak(last, remote)) { }
}

}
