#include "Decisions/RecordReaders.h"

#include <algorithm>

#include "Common/Hash.h"

namespace Decisions {

bool isReader(const EntryPlace& self, std::span<const EntryPlace> members, int readers)
{
    auto rank = [](const EntryPlace& entry) { return Common::hash(entry.address); };
    auto own = rank(self);
    auto before = std::count_if(members.begin(), members.end(), [&](const EntryPlace& entry) {
        return entry.failureDomain == self.failureDomain && entry.address != self.address && rank(entry) > own;
    });
    return before < readers;
}

}
