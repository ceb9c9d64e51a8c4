#pragma once

#include <cstdint>

#include "Net/HttpMessage.h"

namespace Gateway {

// Digest of what stays the same when a request comes again: host, target and body. The method, the other headers and the address
// that it comes from may differ.
std::uint64_t requestIdentity(const Net::Request&);

}
