#pragma once

#include <algorithm>

#include "Common/Clock.h"

namespace Decisions {

// Tokens that come back at a steady rate, up to a number that may be spent at once. Not thread-safe.
class TokenBucket {
public:
    TokenBucket(double perSecond, double most)
        : m_perSecond(perSecond)
        , m_most(most)
        , m_tokens(most)
    {
    }

    bool take(Common::TimePoint now)
    {
        auto elapsed = m_filledAt == Common::TimePoint() ? 0.0 : std::max(0.0, std::chrono::duration<double>(now - m_filledAt).count());
        m_filledAt = now;
        m_tokens = std::min(m_most, m_tokens + m_perSecond * elapsed);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_perSecond;
    double m_most;
    double m_tokens;
    Common::TimePoint m_filledAt;
};

}
