#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Net {

// The bytes in zlib's format, quickly rather than tightly.
std::string deflated(std::string_view bytes);
// The reverse; nothing where the bytes are damaged or would be more than `limit`.
std::optional<std::string> inflated(std::string_view bytes, std::size_t limit);

}
