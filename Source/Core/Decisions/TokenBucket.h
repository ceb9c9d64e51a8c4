#pragma once

#include <algorithm>

#include "Common/Clock.h"

namespace Decisions {

// Token bucket: refills at a steady rate up to its capacity and starts full. Not thread-safe.
class TokenBucket {
public:
    TokenBucket(double perSecond, double capacity)
        : m_perSecond(perSecond)
        , m_capacity(capacity)
        , m_tokens(capacity)
    {
    }

    // Takes one token; false when there is none.
    bool take(Common::TimePoint now)
    {
        auto elapsed = m_refilledAt == Common::TimePoint() ? 0.0 : std::max(0.0, std::chrono::duration<double>(now - m_refilledAt).count());
        m_refilledAt = now;
        m_tokens = std::min(m_capacity, m_tokens + m_perSecond * elapsed);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_perSecond;
    double m_capacity;
    double m_tokens;
    Common::TimePoint m_refilledAt;
};

}
