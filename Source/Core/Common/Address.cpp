#include "Common/Address.h"

#include <arpa/inet.h>
#include <charconv>
#include <string>

namespace Common {

bool isAddress(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon + 1 == text.size())
        return false;
    in_addr parsed {};
    if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &parsed) != 1)
        return false;
    unsigned port = 0;
    const auto* end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data() + colon + 1, end, port);
    constexpr unsigned maxPort = 65535;
    return ec == std::errc() && rest == end && port <= maxPort;
}

}
