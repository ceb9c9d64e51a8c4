#pragma once

#include <memory>
#include <string>

#include "Common/Clock.h"
#include "Platform/Platform.h"

namespace Platform {

struct HttpPlatformOptions {
    std::string address; // ip:port
    Common::Duration timeout = std::chrono::seconds(2); // for connecting, sending and each read
    Common::Duration bodyTimeout = std::chrono::seconds(5); // for a whole body that trickles in
    std::size_t answerBytes = 16UL * 1024 * 1024; // a longer answer is refused
};

// The platform over HTTP/1.1 and JSON. Errors: StoreUnavailable (no usable answer), StoreProtocol (an answer the protocol does not allow).
Services httpPlatform(const HttpPlatformOptions&);

}
