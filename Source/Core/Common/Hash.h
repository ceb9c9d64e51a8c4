#pragma once

#include <cstdint>
#include <string_view>

namespace Common {

// XXH3 hash of the bytes. The same on every instance, so instances can use it to agree on an order.
std::uint64_t hash(std::string_view bytes, std::uint64_t seed = 0);

}
