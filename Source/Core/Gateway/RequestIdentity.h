#pragma once

#include <cstddef>
#include <cstdint>

#include "Net/HttpMessage.h"

namespace Gateway {

// Bytes of a body that are held before the request is served, so that it can be sent again, and that count for its identity. The rest
// of a longer body is streamed.
inline constexpr std::size_t heldBodyBytes = 64 * 1024;

// Digest of what stays the same when a request comes again: host, target and the first heldBodyBytes of the body. The method, the
// other headers and the address that it comes from may differ.
std::uint64_t requestIdentity(const Net::Request&);

}
