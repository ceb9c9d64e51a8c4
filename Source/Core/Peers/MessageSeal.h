#pragma once

#include <array>
#include <atomic>
#include <bitset>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "Common/Result.h"

namespace Peers {

// What a sealed message is for: one kind cannot be passed off as another.
enum class Purpose : std::uint8_t {
    Gossip,
    Request,
    Answer,
};

// Why a message was refused.
enum class Refusal {
    Malformed,
    BadSignature,
    WrongReceiver,
    OutOfTime,
    Replayed,
};

inline constexpr std::size_t refusalCount = 5;

// "malformed", "bad-signature", "wrong-receiver", "out-of-time", "replayed".
std::string_view refusalName(Refusal);

struct SealOptions {
    std::string key; // shared by all entries and operators
    std::string self; // receivers know this process by it, senders address it so
    std::uint64_t run = 0; // greater at every start of the process: wall time in ms
    std::function<std::int64_t()> wallMs;
    std::int64_t maxSkewMs = 60'000; // wall clocks further apart do not understand each other
    std::size_t maxSenders = 4096; // remembered against replay
};

struct Opened {
    std::string sender;
    std::string payload;
    std::string tag; // the message's signature
};

// Signs messages with HMAC-SHA-256 over purpose, sender, receiver, run, sequence, time and payload, and refuses those that are
// unsigned, for somebody else, too old or seen before. Thread-safe.
class MessageSeal {
public:
    explicit MessageSeal(SealOptions);

    std::string seal(Purpose, const std::string& receiver, const std::string& payload);
    // Error: PeerRefused; the refusal is counted.
    Common::Result<Opened> open(Purpose, const std::string& bytes);

    std::uint64_t refused(Refusal refusal) const { return m_refused[static_cast<std::size_t>(refusal)]; }
    std::uint64_t refusedInAll() const;
    const std::string& self() const { return m_options.self; }
    // Counts a message that was refused by whoever read its payload.
    Common::Error refuse(Refusal);

    static constexpr std::size_t tagBytes = 16;
    // What sealing adds, with the longest addresses.
    static constexpr std::size_t overheadBytes = 1 + 2 * 22 + 3 * 8 + tagBytes;

private:
    static constexpr std::size_t windowSize = 1024;

    struct Sender {
        std::uint64_t run = 0;
        std::uint64_t highest = 0;
        std::bitset<windowSize> seen {}; // bit i: highest - i
        std::int64_t heardMs = 0;
    };

    std::string tag(const char* bytes, std::size_t size) const;
    bool isNew(const std::string& sender, std::uint64_t run, std::uint64_t sequence);
    void forgetOld();

    SealOptions m_options;
    std::atomic<std::uint64_t> m_sequence { 0 };
    std::array<std::atomic<std::uint64_t>, refusalCount> m_refused {};
    std::mutex m_mutex;
    std::map<std::string, Sender> m_senders;
};

}
