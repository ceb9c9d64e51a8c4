#pragma once

#include <memory>
#include <string>

#include "Common/Clock.h"
#include "Platform/Platform.h"

namespace Platform {

struct HttpPlatformOptions {
    std::string address; // ip:port
    Common::Duration timeout = std::chrono::seconds(2); // for connecting, for sending and for each read
    Common::Duration bodyTimeout = std::chrono::seconds(5); // for the whole response body, however slowly it arrives
    std::size_t maxResponseBytes = 16UL * 1024 * 1024; // a larger response body is an error
};

// Client of the platform's services over HTTP/1.1 and JSON. Fails with StoreUnavailable if there is no complete response, with
// StoreProtocol if the response violates the protocol.
Services httpPlatform(const HttpPlatformOptions&);

}
