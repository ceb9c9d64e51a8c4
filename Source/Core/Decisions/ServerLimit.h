#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "Common/Clock.h"

namespace Decisions {

// Value of a Server-Limit header: requests a second as a decimal number, fractions allowed. nullopt if it is no such number, or is
// negative or not finite.
std::optional<double> parseLimit(std::string_view text);

// Value of a header that tells for how long a server stays cold: milliseconds as a decimal number, fractions allowed. Longer times than an
// hour are taken as that. nullopt if it is no such number.
std::optional<Common::Duration> parseWarmup(std::string_view text);

// The gateways that share the limits of servers.
struct LimitSharers {
    std::string self;
    std::span<const std::string> domainMembers; // serving gateways of the own failure domain
    std::size_t total = 1; // gateways of all failure domains
};

// The requests a second that this gateway may send to a server, of the `perSecond` that it takes from all; 0 for most gateways if
// the limit is small. A few gateways of each failure domain, chosen by rendezvous hashing, share what the domain's part is.
double limitShare(std::string_view server, double perSecond, const LimitSharers&);

// This gateway's part of the limit that one server has named: a bucket that starts empty. Not thread-safe.
class ServerLimit {
public:
    // The server named a limit, of which `share` is for this gateway.
    void set(double perSecond, double share, Common::TimePoint now);
    // The share has changed, as another number of gateways has one.
    void setShare(double share, Common::TimePoint now);
    void clear() { m_perSecond.reset(); }

    bool isSet() const { return m_perSecond.has_value(); }
    // Of all gateways together.
    std::optional<double> perSecond() const { return m_perSecond; }
    double share() const { return m_share; }
    // When the server named it last.
    Common::TimePoint namedAt() const { return m_namedAt; }
    // Whether a request may be sent now.
    bool allows(Common::TimePoint now) const { return !isSet() || tokens(now) >= 1; }
    // Accounts for a request sent.
    void take(Common::TimePoint now);
    // Until a request may be sent; nullopt if this gateway has no share.
    std::optional<Common::Duration> timeLeft(Common::TimePoint now) const;

private:
    double tokens(Common::TimePoint now) const;

    std::optional<double> m_perSecond;
    double m_share = 0;
    double m_tokens = 0; // as of m_updatedAt
    Common::TimePoint m_updatedAt;
    Common::TimePoint m_namedAt;
};

}
