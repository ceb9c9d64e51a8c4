#include "Common/Hash.h"

#include <xxhash.h>

namespace Common {

std::uint64_t hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

Digest digest(std::string_view bytes, std::uint64_t seed)
{
    auto value = XXH3_128bits_withSeed(bytes.data(), bytes.size(), seed);
    return { .low = value.low64, .high = value.high64 };
}

}
