#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Net {

// Compresses to the zlib format at the fastest level, trading size for CPU time.
std::string zlibCompress(std::string_view bytes);
// Decompresses the zlib format. Returns nullopt if the input is corrupt or the result would exceed `limit` bytes.
std::optional<std::string> zlibDecompress(std::string_view bytes, std::size_t limit);

}
