#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Result.h"

namespace Operator {

// What an entry's page GET /v1/status says of its records.
struct EntryStatus {
    std::uint64_t revision = 0;
    std::vector<std::string> notUnderstood; // services whose newest record it cannot read
};

// Asks an entry on its address for callers. Error: PeerUnreachable.
Common::Result<EntryStatus> askEntryStatus(const std::string& address);

}
