#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "Net/HttpMessage.h"

namespace Net {

// Takes a body's bytes as they come and undoes its framing. Trailers are dropped.
class BodyDecoder {
public:
    enum class State {
        NeedsMore,
        Complete,
        Malformed,
        TooLarge,
    };

    BodyDecoder(Framing, std::size_t length, std::size_t maxBytes);

    // Consumes from the front of `bytes`; what it leaves behind a complete body belongs to the next message.
    State feed(std::string& bytes);
    // The peer ended the stream in order.
    State end();

    State state() const { return m_state; }
    std::string takeBody() { return std::move(m_body); }

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
    std::size_t m_left = 0; // of the body, or of the chunk
    std::size_t m_maxBytes;
    ChunkStep m_step = ChunkStep::Size;
    State m_state = State::NeedsMore;
    std::string m_body;
};

}
