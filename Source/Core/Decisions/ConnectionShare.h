#pragma once

#include "Decisions/CarrierShare.h"

namespace Decisions {

// Share of a backend server's connection limit `total` that this entry may hold open. Carriers divide most of it by the
// largest number of carriers seen recently, so that their sum stays within `total` while their views of membership differ.
// The rest is reserved for other entries, which callers with an outdated directory answer may still reach.
int connectionLimit(int total, const CarrierShare&);

}
