#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Decisions/ServerHint.h"

namespace Decisions {

// Ranks claims about one incarnation: the greater one wins.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Failed,
};

// What is claimed about one entry. Only the entry itself raises its incarnation.
struct MemberRecord {
    std::string peerAddress {}; // ip:port; identifies the entry
    std::string address {}; // ip:port for callers
    std::string failureDomain {};
    std::uint64_t incarnation = 0; // start time in ms since the epoch, raised by each refutation
    MemberState state = MemberState::Alive;
    bool leaving = false;
    bool ready = true; // its records are in force; not named to callers before
    std::vector<std::uint32_t> unoffered {}; // services it cannot serve, as serviceTag(), at most maxUnoffered

    bool operator==(const MemberRecord&) const = default;
};

enum class GossipKind : std::uint8_t {
    Ping, // answered by Ack with the same sequence
    Ack,
    PingRequest, // asks the receiver to ping `subject` and to pass on its Ack
    Push, // carries news only
};

// One datagram between entries.
struct GossipMessage {
    GossipKind kind = GossipKind::Push;
    std::uint64_t sequence = 0;
    std::string subject {}; // PingRequest: whom to ping; Ack: who answered, when it was not the sender
    MemberRecord sender {};
    std::uint64_t headRevision = 0; // in force at the sender
    std::uint64_t clock = 0; // the sender's hybrid logical clock
    std::vector<MemberRecord> updates {};
    std::vector<ServerHint> hints {};
};

struct GossipSend {
    std::string to; // peer address
    GossipMessage message;
};

inline constexpr std::size_t maxUnoffered = 16;

// Stands for a service's name in `unoffered`.
std::uint32_t serviceTag(const std::string& service);

// Upper bounds of what one item adds to a datagram, in bytes.
std::size_t encodedBytes(const MemberRecord&);
std::size_t encodedBytes(const ServerHint&);

}
