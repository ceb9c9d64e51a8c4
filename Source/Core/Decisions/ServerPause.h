#pragma once

#include <optional>
#include <string_view>

#include "Common/Clock.h"

namespace Decisions {

// Delay of a Retry-After header in seconds, fractions allowed, cut at maxServerPause. nullopt if it is no such number: a date,
// a negative or not finite number, text behind it.
std::optional<Common::Duration> parsePause(std::string_view seconds);

// A server that asks for longer is asked again after this time.
inline constexpr auto maxServerPause = std::chrono::seconds(30);

// The time for which one server wants no requests and no load probes from this process: it rejected a request with a
// Retry-After. Answers to requests that were under way may extend the pause, but never shorten it.
class ServerPause {
public:
    void extend(Common::Duration pause, Common::TimePoint now);
    bool isActive(Common::TimePoint now) const { return now < m_until; }
    // Zero when it is over.
    Common::Duration timeLeft(Common::TimePoint now) const { return isActive(now) ? m_until - now : Common::Duration::zero(); }

private:
    Common::TimePoint m_until {};
};

}
