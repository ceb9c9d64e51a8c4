#pragma once

#include <functional>
#include <string>

#include "Decisions/AttemptOutcome.h"

namespace Backends {

// Where the bytes of a body come from.
struct ByteSource {
    std::function<int()> get; // the next byte; negative at the end of the connection
    std::function<int(char* buffer, int length)> read; // up to `length` bytes; 0 at the end of the connection
};

// Appends exactly `length` bytes to `body`. Faults: CutShort.
Decisions::AttemptFault readFixedBody(const ByteSource&, std::size_t length, std::string& body);

// Decodes a chunked body up to and with its last chunk and trailers. Faults: CutShort, Malformed, TooLarge past `limit`.
Decisions::AttemptFault readChunkedBody(const ByteSource&, std::size_t limit, std::string& body);

}
