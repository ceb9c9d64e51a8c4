#pragma once

#include <cmath>

#include "Common/Clock.h"

namespace Decisions {

// What is left after `age` of something with the given time constant: 1 at once, 1/e after `memory`.
inline double decay(Common::Duration age, Common::Duration memory)
{
    return age.count() <= 0 ? 1.0 : std::exp(-static_cast<double>(age.count()) / static_cast<double>(memory.count()));
}

}
