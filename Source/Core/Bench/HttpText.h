#pragma once

#include <optional>
#include <string_view>

namespace Bench {

// Bytes of a message's head with its empty line; nothing while it is not whole.
std::optional<std::size_t> headLength(std::string_view);

// A header's value in a head; empty when absent. Names are compared without regard to case.
std::string_view headerValue(std::string_view head, std::string_view name);

std::optional<std::size_t> contentLength(std::string_view head);

// A decimal number; 0 when it is none.
int toInteger(std::string_view);

}
