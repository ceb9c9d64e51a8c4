#pragma once

#include <span>
#include <string>

namespace Decisions {

// An entry and the failure domain it runs in.
struct EntryLocation {
    std::string address; // unique for each entry, and the same as seen by all entries
    std::string failureDomain;
};

inline constexpr int readersPerDomain = 2;

// Whether `self` is one of the entries of its failure domain that poll the store, by rendezvous hashing over `members`, which
// need not contain `self`. Entries that see different members may select too many or different readers, but never none,
// since each includes itself.
bool isReader(const EntryLocation& self, std::span<const EntryLocation> members, int readers = readersPerDomain);

}
