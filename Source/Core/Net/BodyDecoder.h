#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "Net/HttpMessage.h"

namespace Net {

// Detail of State::Malformed, for logs.
inline constexpr std::string_view malformedBody = "expected a chunk or a trailer field, got other bytes";

// Incrementally decodes a message body according to its framing. Trailer fields are discarded.
class BodyDecoder {
public:
    enum class State {
        NeedsMore,
        Complete,
        Malformed,
        TooLarge,
    };

    BodyDecoder(Framing, std::size_t length, std::size_t maxBytes);

    // Consumes bytes from the front of `bytes`. Bytes after a complete body are left in place: they are the start of the next message.
    State feed(std::string& bytes);
    // Tells the decoder that the peer closed the stream in an orderly way.
    State end();

    State state() const { return m_state; }
    // Bytes decoded and not taken yet. `maxBytes` bounds these, not the whole body.
    std::size_t heldBytes() const { return m_body.size(); }
    std::string takeBody() { return std::exchange(m_body, {}); }

private:
    enum class ChunkStep {
        Size,
        Data,
        DataEnd,
        Trailer,
    };

    void feedChunks(std::string& bytes);
    bool feedChunkStep(std::string_view& rest);
    bool readChunkSize(std::string_view line);
    void append(std::string_view);

    Framing m_framing;
    std::size_t m_remaining = 0; // bytes still expected of the body or of the current chunk
    std::size_t m_maxBytes;
    std::size_t m_trailerBytes = 0;
    ChunkStep m_step = ChunkStep::Size;
    State m_state = State::NeedsMore;
    std::string m_body;
};

}
