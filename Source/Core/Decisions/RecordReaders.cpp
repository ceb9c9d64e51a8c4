#include "Decisions/RecordReaders.h"

#include <algorithm>

#include "Common/Hash.h"

namespace Decisions {

bool isReader(const EntryLocation& self, std::span<const EntryLocation> members, int readers)
{
    auto rank = [](const EntryLocation& entry) { return Common::hash(entry.address); };
    auto own = rank(self);
    auto before = std::count_if(members.begin(), members.end(), [&](const EntryLocation& entry) {
        return entry.failureDomain == self.failureDomain && entry.address != self.address && rank(entry) > own;
    });
    return before < readers;
}

}
