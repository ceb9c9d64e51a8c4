#include "Net/BodyDecoder.h"

#include <algorithm>
#include <charconv>

#include "Net/MessageSyntax.h"

namespace Net {

namespace {

    // Maximum length of a chunk size line including its extensions, or of one trailer line.
    constexpr std::size_t maxLineBytes = 4096;
    // Maximum length of all trailer lines together.
    constexpr std::size_t maxTrailerBytes = 16 * 1024;

}

BodyDecoder::BodyDecoder(Framing framing, std::size_t length, std::size_t maxBytes)
    : m_framing(framing)
    , m_remaining(length)
    , m_maxBytes(maxBytes)
{
    if (framing == Framing::None || (framing == Framing::Length && length == 0))
        m_state = State::Complete;
    else if (framing == Framing::Length && length > maxBytes)
        m_state = State::TooLarge;
}

BodyDecoder::State BodyDecoder::feed(std::string& bytes)
{
    if (m_state != State::NeedsMore || bytes.empty())
        return m_state;
    if (m_framing == Framing::Chunked) {
        feedChunks(bytes);
        return m_state;
    }
    auto n = m_framing == Framing::Length ? std::min(m_remaining, bytes.size()) : bytes.size();
    append(std::string_view(bytes).substr(0, n));
    bytes.erase(0, n);
    if (m_framing == Framing::Length) {
        m_remaining -= n;
        if (m_remaining == 0 && m_state == State::NeedsMore)
            m_state = State::Complete;
    }
    return m_state;
}

BodyDecoder::State BodyDecoder::end()
{
    if (m_state == State::NeedsMore)
        m_state = m_framing == Framing::UntilClose ? State::Complete : State::Malformed;
    return m_state;
}

void BodyDecoder::append(std::string_view bytes)
{
    if (m_body.size() + bytes.size() > m_maxBytes)
        m_state = State::TooLarge;
    else
        m_body.append(bytes);
}

void BodyDecoder::feedChunks(std::string& bytes)
{
    std::string_view rest = bytes;
    while (m_state == State::NeedsMore && feedChunkStep(rest)) { }
    bytes.erase(0, bytes.size() - rest.size());
}

// Returns false when more bytes are needed.
bool BodyDecoder::feedChunkStep(std::string_view& rest)
{
    if (m_step == ChunkStep::Data) {
        auto n = std::min(m_remaining, rest.size());
        append(rest.substr(0, n));
        rest.remove_prefix(n);
        m_remaining -= n;
        if (m_remaining == 0)
            m_step = ChunkStep::DataEnd;
        return m_remaining == 0;
    }
    auto end = rest.find("\r\n");
    // The same verdict however the line arrives: all at once or in parts, the last of which may end behind its CR.
    if (end == std::string_view::npos ? rest.size() > maxLineBytes + 1 : end > maxLineBytes) {
        m_state = State::Malformed;
        return false;
    }
    if (end == std::string_view::npos)
        return false;
    auto line = rest.substr(0, end);
    rest.remove_prefix(end + 2);
    if (m_step == ChunkStep::Size) {
        if (!readChunkSize(line))
            m_state = State::Malformed;
    } else if (m_step == ChunkStep::DataEnd) {
        if (!line.empty())
            m_state = State::Malformed;
        m_step = ChunkStep::Size;
    } else if (line.empty()) {
        m_state = State::Complete;
    } else {
        m_trailerBytes += line.size();
        if (m_trailerBytes > maxTrailerBytes || !isFieldLine(line))
            m_state = State::Malformed;
    }
    return true;
}

bool BodyDecoder::readChunkSize(std::string_view line)
{
    // White space is only allowed before an extension (RFC 9112, 7.1.1).
    auto extension = line.find(';');
    auto digits = line.substr(0, extension);
    while (extension != std::string_view::npos && !digits.empty() && (digits.back() == ' ' || digits.back() == '\t'))
        digits.remove_suffix(1);
    constexpr int hexadecimal = 16;
    auto [rest, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), m_remaining, hexadecimal);
    if (digits.empty() || ec != std::errc() || rest != digits.data() + digits.size() || !isFieldValue(line))
        return false;
    m_step = m_remaining == 0 ? ChunkStep::Trailer : ChunkStep::Data;
    return true;
}

}
