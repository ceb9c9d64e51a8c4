#pragma once

#include <string_view>

namespace Common {

// Whether the text is "ip:port" with an IPv4 address in dotted form and a port of 0 to 65535.
bool isAddress(std::string_view text);

}
