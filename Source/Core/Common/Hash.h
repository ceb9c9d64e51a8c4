#pragma once

#include <cstdint>
#include <string_view>

namespace Common {

// XXH3 of the bytes; the same on every instance, so it may be used to agree on an order.
std::uint64_t hash(std::string_view bytes, std::uint64_t seed = 0);

}
