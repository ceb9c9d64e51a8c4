#include "Backends/ChunkedBody.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "Net/MessageSyntax.h"

namespace Backends {

// The library's own decoder takes an invalid chunk size for the end of the body, which would pass a cut answer for a whole one.

namespace {

    using Decisions::AttemptFault;

    constexpr std::size_t maxLineBytes = 1024;
    constexpr int maxTrailers = 64;

    // A line without its end; nothing when the connection ended or the line is too long.
    std::optional<std::string> readLine(const ByteSource& source)
    {
        std::string line;
        while (line.size() < maxLineBytes) {
            auto c = source.get();
            if (c < 0)
                return std::nullopt;
            if (c == '\n') {
                if (!line.empty() && line.back() == '\r')
                    line.pop_back();
                return line;
            }
            line += static_cast<char>(c);
        }
        return std::nullopt;
    }

    std::optional<std::size_t> chunkSize(const std::string& line)
    {
        constexpr int hexadecimal = 16;
        if (!Net::isFieldValue(line))
            return std::nullopt;
        auto text = std::string_view(line).substr(0, line.find_first_of("; \t"));
        std::size_t size = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), size, hexadecimal);
        if (text.empty() || ec != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return size;
    }

    AttemptFault readTrailers(const ByteSource& source)
    {
        for (int i = 0; i < maxTrailers; ++i) {
            auto line = readLine(source);
            if (!line)
                return AttemptFault::CutShort;
            if (line->empty())
                return AttemptFault::None;
            if (!Net::isFieldLine(*line))
                return AttemptFault::Malformed;
        }
        return AttemptFault::Malformed;
    }

}

AttemptFault readFixedBody(const ByteSource& source, std::size_t length, std::string& body)
{
    // Grown as bytes come: a stated length alone takes no memory.
    constexpr std::size_t pieceBytes = 64 * 1024;
    auto begin = body.size();
    for (std::size_t done = 0; done < length;) {
        auto piece = std::min(length - done, pieceBytes);
        body.resize(begin + done + piece);
        auto n = source.read(body.data() + begin + done, static_cast<int>(piece));
        done += static_cast<std::size_t>(std::max(n, 0));
        body.resize(begin + done);
        if (n <= 0)
            return AttemptFault::CutShort;
    }
    return AttemptFault::None;
}

AttemptFault readChunkedBody(const ByteSource& source, std::size_t limit, std::string& body)
{
    while (true) {
        auto line = readLine(source);
        if (!line)
            return AttemptFault::CutShort;
        auto size = chunkSize(*line);
        if (!size)
            return AttemptFault::Malformed;
        if (*size == 0)
            return readTrailers(source);
        if (*size > limit - std::min(limit, body.size()))
            return AttemptFault::TooLarge;
        auto fault = readFixedBody(source, *size, body);
        if (fault != AttemptFault::None)
            return fault;
        auto end = readLine(source);
        if (!end)
            return AttemptFault::CutShort;
        if (!end->empty())
            return AttemptFault::Malformed;
    }
}

}
