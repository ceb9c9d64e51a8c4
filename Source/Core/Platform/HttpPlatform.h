#pragma once

#include <memory>
#include <string>

#include "Common/Clock.h"
#include "Platform/Platform.h"

namespace Platform {

struct HttpPlatformOptions {
    std::string address; // ip:port
    Common::Duration timeout = std::chrono::seconds(2);
};

// The platform over HTTP/1.1 and JSON. Errors: StoreUnavailable (no usable answer), StoreProtocol (an answer the protocol does not allow).
Services httpPlatform(const HttpPlatformOptions&);

}
