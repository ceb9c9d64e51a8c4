#include "Bench/HttpText.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace Bench {

namespace {

    bool equalsIgnoringCase(std::string_view a, std::string_view b)
    {
        auto lower = [](char c) { return std::tolower(static_cast<unsigned char>(c)); };
        return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [&](char x, char y) { return lower(x) == lower(y); });
    }

}

std::optional<std::size_t> headLength(std::string_view text)
{
    constexpr std::string_view emptyLine = "\r\n\r\n";
    auto end = text.find(emptyLine);
    return end == std::string_view::npos ? std::nullopt : std::optional(end + emptyLine.size());
}

std::string_view headerValue(std::string_view head, std::string_view name)
{
    for (auto line = head.find("\r\n"); line != std::string_view::npos; line = head.find("\r\n", line + 2)) {
        auto text = head.substr(line + 2, head.find("\r\n", line + 2) - line - 2);
        auto colon = text.find(':');
        if (colon == std::string_view::npos || !equalsIgnoringCase(text.substr(0, colon), name))
            continue;
        auto value = text.substr(colon + 1);
        while (value.starts_with(' '))
            value.remove_prefix(1);
        return value;
    }
    return {};
}

std::optional<std::size_t> contentLength(std::string_view head)
{
    auto text = headerValue(head, "Content-Length");
    std::size_t value = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return text.empty() || ec != std::errc() || end != text.data() + text.size() ? std::nullopt : std::optional(value);
}

int toInteger(std::string_view text)
{
    int value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

}
