#include "Decisions/ServerLimit.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <vector>

#include "Common/Hash.h"

namespace Decisions {

namespace {

    // Share of a limit that is used: gateways may disagree for a moment on who shares it.
    constexpr double usedShare = 0.9;
    // A bucket holds at most what it gets in this time, but at least one request.
    constexpr double burstS = 0.25;

    double capacity(double share)
    {
        return std::max(1.0, burstS * share);
    }

}

std::optional<double> parseLimit(std::string_view text)
{
    double value = 0;
    auto end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc() || rest != end || !std::isfinite(value) || value < 0)
        return std::nullopt;
    return value;
}

std::optional<Common::Duration> parseWarmup(std::string_view text)
{
    constexpr double maxMs = 3'600'000; // as for the registry's field
    double value = 0;
    auto end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    if (ec != std::errc() || rest != end || !std::isfinite(value) || std::signbit(value))
        return std::nullopt;
    return Common::fromMilliseconds(std::min(value, maxMs));
}

double limitShare(std::string_view server, double perSecond, const LimitSharers& sharers)
{
    auto members = sharers.domainMembers.size();
    // One that starts or leaves has no share, as the others don't count it.
    if (std::find(sharers.domainMembers.begin(), sharers.domainMembers.end(), sharers.self) == sharers.domainMembers.end())
        return 0;
    auto ofDomain = usedShare * perSecond * static_cast<double>(members) / static_cast<double>(std::max(sharers.total, members));
    // Each gateway with a share may hold one request's worth, so their number is bounded by the limit.
    auto owners = static_cast<std::size_t>(std::clamp(std::floor(ofDomain), 1.0, static_cast<double>(members)));
    auto seed = Common::hash(server);
    auto rank = [&](const std::string& gateway) { return std::pair(Common::hash(gateway, seed), std::string_view(gateway)); };
    auto own = rank(sharers.self);
    auto before = std::count_if(sharers.domainMembers.begin(), sharers.domainMembers.end(), [&](const auto& it) { return rank(it) > own; });
    return static_cast<std::size_t>(before) < owners ? ofDomain / static_cast<double>(owners) : 0;
}

double ServerLimit::tokens(Common::TimePoint now) const
{
    auto elapsedS = std::chrono::duration<double>(now - m_updatedAt).count();
    return std::min(capacity(m_share), m_tokens + m_share * std::max(0.0, elapsedS));
}

void ServerLimit::set(double perSecond, double share, Common::TimePoint now)
{
    if (!isSet()) {
        m_tokens = 0;
        m_updatedAt = now;
    }
    m_namedAt = now;
    m_perSecond = perSecond;
    setShare(share, now);
}

void ServerLimit::setShare(double share, Common::TimePoint now)
{
    // A gateway that gets a share starts without requests in hand, since the one before it may just have used its own.
    m_tokens = m_share > 0 ? std::min(tokens(now), capacity(share)) : 0;
    m_updatedAt = now;
    m_share = share;
}

void ServerLimit::take(Common::TimePoint now)
{
    m_tokens = tokens(now) - 1;
    m_updatedAt = now;
}

std::optional<Common::Duration> ServerLimit::timeLeft(Common::TimePoint now) const
{
    if (allows(now))
        return Common::Duration::zero();
    if (m_share <= 0)
        return std::nullopt;
    return Common::fromMilliseconds(1000 * (1 - tokens(now)) / m_share);
}

}
