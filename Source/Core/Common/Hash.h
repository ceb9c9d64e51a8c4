#pragma once

#include <cstdint>
#include <string_view>

namespace Common {

// XXH3 hash of the bytes. The same on every instance, so instances can use it to agree on an order.
std::uint64_t hash(std::string_view bytes, std::uint64_t seed = 0);

// 128 bits, of which different bytes have the same with a probability that can be neglected.
struct Digest {
    std::uint64_t low = 0;
    std::uint64_t high = 0;

    bool operator==(const Digest&) const = default;
    bool operator<(const Digest& other) const { return high != other.high ? high < other.high : low < other.low; }
};

// XXH3 digest. With a random seed that is kept secret, bytes with a given digest can't be constructed.
Digest digest(std::string_view bytes, std::uint64_t seed);

}
