#pragma once

#include <charconv>
#include <string>

#include "Net/HttpMessage.h"

namespace UnitTests {

// Whether a gateway of version b9b234b, the last one before unauthenticated requests were forwarded, runs a forwarded request with this header. The
// checks are that version's and must not follow later ones.
inline bool isAcceptedByOldGateway(const std::string& text)
{
    auto isInt = [&](const char* name, int low, int high) {
        auto field = Net::queryValue(text, name);
        int value = 0;
        auto [rest, ec] = std::from_chars(field.data(), field.data() + field.size(), value);
        return ec == std::errc() && rest == field.data() + field.size() && value >= low && value <= high;
    };
    auto repeat = Net::queryValue(text, "repeat");
    return isInt("goal_ms", 0, 86'400'000) && isInt("priority", 0, 1'000'000) && isInt("attempts", 1, 1000) && (repeat == "safe" || repeat == "never")
        && !Net::queryValue(text, "service").empty();
}

}
