#pragma once

#include <cstddef>
#include <string_view>

#include <Poco/Net/StreamSocket.h>

namespace Net {

// Sends what the send buffer of a non-blocking socket takes now. Returns the number of bytes; 0: the buffer is full. Throws
// Poco::Exception if the connection is broken.
std::size_t sendAvailable(Poco::Net::StreamSocket&, std::string_view bytes);

}
