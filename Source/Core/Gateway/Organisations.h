#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Hash.h"
#include "Common/Result.h"

namespace Gateway {

// An organisation whose callers identify themselves by API keys.
struct Organisation {
    std::string name; // what backend servers are told
    std::optional<int> priority; // of its requests; empty: that of the route
    double ratePerSecond = 0; // of its allowance, over all gateways; 0: no limit
    double burst = 0; // requests beyond the rate

    bool hasAllowance() const { return ratePerSecond > 0; }
    bool operator==(const Organisation&) const = default;
};

struct OrganisationEntry {
    Organisation organisation;
    std::vector<std::string> keys;
};

// Why an entry can't be used. The text never contains a key.
struct OrganisationError {
    std::string organisation;
    std::string text;
};

// The organisations of one configuration, by API key. Immutable. Keeps digests of the keys, not the keys: 16 bytes a slot, of which
// three quarters are in use.
class Organisations {
public:
    Organisations() = default;
    // `seed` of the digests: random, so that callers can't construct keys with the same digest. Errors name the organisation, never a key: RecordInvalid for
    // a key that is empty, longer than 256 bytes, not made of visible ASCII characters, or listed twice, and for names that
    // can't be sent or differ only in case.
    static Common::Result<Organisations> make(std::vector<OrganisationEntry>, std::uint64_t seed);
    // The same, with all errors: for each organisation that of its name, its first invalid key and its first key that is
    // listed before. Keys with errors are left out.
    static Organisations make(std::vector<OrganisationEntry>, std::uint64_t seed, std::vector<OrganisationError>&);

    bool empty() const { return m_organisations.empty(); }
    const std::vector<Organisation>& all() const { return m_organisations; }
    // The organisation that holds the key; nullptr if none does. Takes the same time whatever the number of keys.
    const Organisation* find(std::string_view key) const;
    // nullptr if there is none of that name.
    const Organisation* named(std::string_view name) const;
    std::size_t keyCount() const { return m_keyCount; }
    // The kept bits of the digests of the keys in ascending order, by organisation. Those of another seed can't be compared with them.
    std::map<std::string, std::vector<Common::Digest>, std::less<>> keyDigests() const;
    // Memory of the keys.
    std::size_t keyBytes() const { return m_slots.capacity() * sizeof(Slot); }

private:
    struct Slot {
        std::uint64_t low = 0; // of the digest
        std::uint32_t middle = 0;
        std::uint32_t organisation = 0; // index in m_organisations, plus 1; 0: the slot is free
    };

    void addKeys(const std::vector<std::string>& keys, std::vector<OrganisationError>&);
    std::size_t slotOf(const Common::Digest&) const;

    std::vector<Organisation> m_organisations; // by ascending name
    std::vector<Slot> m_slots; // open addressing
    std::size_t m_keyCount = 0;
    std::uint64_t m_seed = 0;
};

}
