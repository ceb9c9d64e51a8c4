#pragma once

#include "Decisions/CarrierShare.h"

namespace Decisions {

// How many of a backend server's `total` connections this entry may hold open. Carriers divide most of them by the largest
// count of carriers seen lately, so that the sum stays within `total` while views differ; the rest is for entries that a
// caller with an old directory answer reaches.
int connectionLimit(int total, const CarrierShare&);

}
