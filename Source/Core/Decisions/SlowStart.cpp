#include "Decisions/SlowStart.h"

#include <algorithm>

namespace Decisions {

namespace {

    constexpr Common::Duration slowStartTime = std::chrono::seconds(5);
    constexpr double firstShare = 0.1;

}

double SlowStart::share(Common::TimePoint now) const
{
    if (!m_from)
        return 1;
    auto passed = static_cast<double>((now - *m_from).count()) / static_cast<double>(slowStartTime.count());
    return std::clamp(firstShare + (1 - firstShare) * passed, firstShare, 1.0);
}

}
