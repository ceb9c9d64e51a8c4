#include "Net/MemoryBudget.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Net {

namespace {

    // Shares of the limit.
    constexpr double largeBodyShare = 0.5;
    constexpr double requestShare = 1.5;
    constexpr double resumeShare = 0.9;

    bool isBelow(std::size_t used, double share, std::size_t limit)
    {
        return static_cast<double>(used) < share * static_cast<double>(limit);
    }

}

MemoryAccount::~MemoryAccount()
{
    set(0);
}

void MemoryAccount::set(std::size_t bytes)
{
    if (m_budget && bytes != m_bytes)
        m_budget->change(m_bytes, bytes);
    m_bytes = bytes;
}

bool MemoryAccount::mayRead() const
{
    return !m_budget || m_budget->mayRead(m_bytes);
}

bool MemoryBudget::takesLargeBodies() const
{
    return isBelow(m_used, largeBodyShare, m_limit);
}

bool MemoryBudget::takesRequests() const
{
    return isBelow(m_used, requestShare, m_limit);
}

void MemoryBudget::onRoom(std::function<void()> hook)
{
    ++m_waits;
    m_waiting.push_back(std::move(hook));
}

void MemoryBudget::change(std::size_t before, std::size_t after)
{
    m_used = m_used - before + after;
    m_peak = std::max(m_peak, m_used);
    if (after < before)
        wake();
}

void MemoryBudget::wake()
{
    if (m_waiting.empty() || !isBelow(m_used, resumeShare, m_limit))
        return;
    // Each reads about this much before it asks again.
    auto n = std::min(m_waiting.size(), std::max<std::size_t>(1, (m_limit - m_used) / alwaysReadBytes));
    decltype(m_waiting) woken;
    woken.splice(woken.begin(), m_waiting, m_waiting.begin(), std::next(m_waiting.begin(), static_cast<std::ptrdiff_t>(n)));
    for (const auto& hook : woken)
        hook();
}

}
