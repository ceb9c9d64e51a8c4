#pragma once

#include <cmath>

#include "Common/Clock.h"

namespace Decisions {

// Exponential decay: the weight, from 1 to 0, of a value of this age, with `memory` as the time constant (1/e after `memory`).
inline double decay(Common::Duration age, Common::Duration memory)
{
    return age.count() <= 0 ? 1.0 : std::exp(-static_cast<double>(age.count()) / static_cast<double>(memory.count()));
}

}
