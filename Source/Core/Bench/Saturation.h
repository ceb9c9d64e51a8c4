#pragma once

#include <string>

#include "Common/Clock.h"

namespace Bench {

struct SaturationOptions {
    int seconds = 3; // of each measurement
    int rounds = 3; // measurements take turns this often
    int loops = 4; // threads of callers
    int connections = 32; // for each loop, always busy
};

// Closed-loop load on one entry: as many calls as it can serve. Prints one line of JSON: calls/s straight to backend servers,
// through a bare relay and through the entry, directory answers/s, and processor time a call in the entry; medians of the rounds.
int runSaturation(const SaturationOptions&);

}
