#pragma once

#include <string_view>

namespace Common {

// Whether the text has the form "ip:port" with a dotted IPv4 address and a port from 0 to 65535.
bool isAddress(std::string_view text);

}
