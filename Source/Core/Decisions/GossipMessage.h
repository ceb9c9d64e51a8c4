#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Decisions/ServerHint.h"

namespace Decisions {

// Of two records of one incarnation, the one with the greater state supersedes the other.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Failed,
};

// State of one entry as members report it. Only the entry itself raises its incarnation.
struct MemberRecord {
    std::string peerAddress {}; // ip:port; identifies the entry
    std::string address {}; // ip:port for callers
    std::string failureDomain {};
    std::uint64_t incarnation = 0; // start time in ms since the epoch, raised by each refutation
    MemberState state = MemberState::Alive;
    bool leaving = false;
    bool ready = true; // its records are in force; directories name it to callers only then
    std::vector<std::uint32_t> unavailableServices {}; // services that the entry cannot serve, as serviceTag(), at most maxUnavailableServices

    bool operator==(const MemberRecord&) const = default;
};

enum class GossipKind : std::uint8_t {
    Ping, // answered by Ack with the same sequence
    Ack,
    PingRequest, // asks the receiver to ping `subject` and to forward the Ack
    Push, // carries updates and hints only; has no answer
};

// One datagram between entries.
struct GossipMessage {
    GossipKind kind = GossipKind::Push;
    std::uint64_t sequence = 0;
    std::string subject {}; // PingRequest: member to ping; Ack: member that answered, if not the sender
    MemberRecord sender {};
    std::uint64_t headRevision = 0; // of the record log, in force at the sender
    std::uint64_t clock = 0; // the sender's hybrid logical clock
    std::vector<MemberRecord> updates {};
    std::vector<ServerHint> hints {};
};

struct GossipSend {
    std::string to; // peer address
    GossipMessage message;
};

// An entry that cannot serve more services than this counts as not ready.
inline constexpr std::size_t maxUnavailableServices = 16;

// Hash of a service's name, as listed in `unavailableServices`.
std::uint32_t serviceTag(const std::string& service);

// Upper bounds of the bytes that one item adds to a datagram.
std::size_t encodedBytes(const MemberRecord&);
std::size_t encodedBytes(const ServerHint&);

}
