#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Platform/Platform.h"

namespace Bench {

struct SeededRecord {
    std::string service;
    std::vector<std::string> forms; // TOML texts
};

// One transaction that stores records in the table's layout as the changes after `lastRevision`, one revision each. It has
// no conditions: for filling a stand-in, not for writing beside operators.
Platform::Transaction seedTransaction(std::uint64_t lastRevision, const std::vector<SeededRecord>&);

}
