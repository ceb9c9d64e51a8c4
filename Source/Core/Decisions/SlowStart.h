#pragma once

#include <optional>

#include "Common/Clock.h"

namespace Decisions {

// Ramps up the traffic of a server that is new or has been readmitted over a fixed time.
class SlowStart {
public:
    void begin(Common::TimePoint now) { m_from = now; }
    // Fraction of its full traffic that the server gets now, in (0, 1].
    double share(Common::TimePoint now) const;

private:
    std::optional<Common::TimePoint> m_from;
};

}
