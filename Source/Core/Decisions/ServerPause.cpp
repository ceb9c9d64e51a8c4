#include "Decisions/ServerPause.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Decisions {

std::optional<Common::Duration> parsePause(std::string_view seconds)
{
    double value = 0;
    auto end = seconds.data() + seconds.size();
    auto [rest, ec] = std::from_chars(seconds.data(), end, value);
    // A number too large for a double has a meaning: a very long pause.
    if (ec == std::errc::result_out_of_range && rest == end)
        value = std::chrono::duration<double>(maxServerPause).count();
    else if (ec != std::errc())
        return std::nullopt;
    if (rest != end || !std::isfinite(value) || value < 0)
        return std::nullopt;
    auto longestS = std::chrono::duration<double>(maxServerPause).count();
    return std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(std::min(value, longestS)));
}

void ServerPause::extend(Common::Duration pause, Common::TimePoint now)
{
    m_until = std::max(m_until, now + pause);
}

}
