#pragma once

#include <optional>

#include "Common/Clock.h"

namespace Decisions {

// Ramps up the work of a server that is new or has come back.
class SlowStart {
public:
    void begin(Common::TimePoint now) { m_from = now; }
    // The part of its usual work that the server gets, in (0, 1].
    double share(Common::TimePoint now) const;

private:
    std::optional<Common::TimePoint> m_from;
};

}
