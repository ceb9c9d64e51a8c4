#include "Net/MessageSyntax.h"

#include <algorithm>

#include <fmt/format.h>

namespace Net {

namespace {

    constexpr std::size_t maxExcerptBytes = 80;

    bool isDigit(char c)
    {
        return c >= '0' && c <= '9';
    }

    bool isTokenCharacter(char c)
    {
        constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
        return isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || symbols.find(c) != std::string_view::npos;
    }

    // `char` is signed on some processors only.
    bool isControlCharacter(char c)
    {
        constexpr unsigned char firstVisible = 0x20;
        return static_cast<unsigned char>(c) < firstVisible || c == '\x7f';
    }

    bool isAscii(char c)
    {
        constexpr unsigned char firstAboveAscii = 0x80;
        return static_cast<unsigned char>(c) < firstAboveAscii;
    }

}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return c != '\t' && isControlCharacter(c); });
}

bool isFieldLine(std::string_view line)
{
    auto colon = line.find(':');
    return colon != std::string_view::npos && isToken(line.substr(0, colon)) && isFieldValue(line.substr(colon + 1));
}

std::optional<StatusLine> parseStatusLine(std::string_view line)
{
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::size_t statusAt = protocol.size() + 2;
    constexpr std::size_t reasonAt = statusAt + 3;
    if (line.size() < reasonAt || !line.starts_with(protocol) || line[statusAt - 1] != ' ')
        return std::nullopt;
    auto digits = line.substr(statusAt, 3);
    auto hasReason = line.size() > reasonAt;
    if (!isDigit(line[protocol.size()]) || !std::all_of(digits.begin(), digits.end(), isDigit) || (hasReason && line[reasonAt] != ' '))
        return std::nullopt;
    StatusLine parsed { .minorVersion = line[protocol.size()] - '0', .status = 0, .reason = {} };
    for (auto digit : digits)
        parsed.status = 10 * parsed.status + (digit - '0');
    parsed.reason = hasReason ? line.substr(reasonAt + 1) : std::string_view();
    constexpr int firstStatus = 100;
    constexpr int lastStatus = 599;
    if (parsed.status < firstStatus || parsed.status > lastStatus || !isFieldValue(parsed.reason))
        return std::nullopt;
    return parsed;
}

std::string excerpt(std::string_view bytes)
{
    std::string text;
    for (char c : bytes.substr(0, maxExcerptBytes)) {
        if (isControlCharacter(c) || !isAscii(c))
            text += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        else
            text += c;
    }
    return bytes.size() > maxExcerptBytes ? text + "..." : text;
}

}
