#pragma once

#include <string>

#include "Common/Result.h"
#include "Decisions/GossipMessage.h"

namespace Peers {

// A gossip message in bytes, unsigned.
std::string encodeGossip(const Decisions::GossipMessage&);
// Error: PeerRefused where the bytes are not exactly one message.
Common::Result<Decisions::GossipMessage> decodeGossip(const std::string& bytes);

}
