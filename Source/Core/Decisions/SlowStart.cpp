#include "Decisions/SlowStart.h"

#include <algorithm>

namespace Decisions {

namespace {

    constexpr Common::Duration slowStartDuration = std::chrono::seconds(5);
    constexpr double initialShare = 0.1; // of its full traffic

}

double SlowStart::share(Common::TimePoint now) const
{
    if (!m_from)
        return 1;
    auto elapsed = static_cast<double>((now - *m_from).count()) / static_cast<double>(slowStartDuration.count());
    return std::clamp(initialShare + (1 - initialShare) * elapsed, initialShare, 1.0);
}

}
