#pragma once

#include <span>
#include <string>

namespace Decisions {

// An entry and where it runs.
struct EntryPlace {
    std::string address; // any that tells the entries apart, the same on all of them
    std::string failureDomain;
};

inline constexpr int readersPerDomain = 2;

// Whether `self` is among the entries of its failure domain that poll the store, by rendezvous hash over `members`; `self`
// need not be among them. Entries that see different members may choose too many or other readers, never none: the choice
// of each holds itself.
bool isReader(const EntryPlace& self, std::span<const EntryPlace> members, int readers = readersPerDomain);

}
