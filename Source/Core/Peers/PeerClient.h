#pragma once

#include <json/value.h>

#include "Common/Clock.h"
#include "Common/Result.h"
#include "Peers/MessageSeal.h"

namespace Peers {

struct PeerClientOptions {
    std::string sharedKey;
    std::string self; // unlike the name of every other process that speaks to the same entries
    Common::Duration timeout = std::chrono::seconds(2);
};

// Calls other entries by JSON-RPC, a connection a call. Thread-safe.
class PeerClient {
public:
    explicit PeerClient(const PeerClientOptions&);

    // Errors: PeerUnreachable (no usable answer), PeerRefused (the answer is not the entry's own, or the entry refused the request).
    Common::Result<Json::Value> call(const std::string& address, const std::string& method, const Json::Value& parameters) const;

private:
    std::string exchange(const std::string& address, const std::string& request) const;

    Common::Duration m_timeout;
    mutable MessageSeal m_seal;
};

}
