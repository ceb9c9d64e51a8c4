#include "Decisions/HedgePolicy.h"

#include <algorithm>

#include "Decisions/Decay.h"

namespace Decisions {

namespace {

    // A generation of response times ends after the first time if it has enough samples, and after the second in any case. At 700
    // requests a second over 221 gateways and 5 routes, a gateway has 60 samples of a route after 95 s.
    constexpr auto generationTime = std::chrono::seconds(30);
    constexpr auto maxGenerationTime = std::chrono::minutes(5);
    // Hedges become due for this many times the share that the budget pays: not each of them finds a server with room, and those that
    // wait for the budget while their request is answered need none.
    constexpr double dueSharePerBudgetShare = 2;
    constexpr double minQuantile = 0.9;
    constexpr double maxQuantile = 0.99;
    // Added to the recent requests: of the few at a small gateway a single refusal would stop hedging for seconds.
    constexpr double priorRequests = 20;

}

const char* hedgeVerdictName(HedgeVerdict verdict)
{
    switch (verdict) {
    case HedgeVerdict::Allowed:
        return "allowed";
    case HedgeVerdict::NoBudget:
        return "share used up";
    case HedgeVerdict::NoRetryBudget:
        return "retry budget used up";
    case HedgeVerdict::Busy:
        return "servers busy";
    }
    return "";
}

void RecentTimes::add(Common::Duration took, Common::TimePoint now, std::uint32_t minSamples)
{
    auto age = now - m_currentSince;
    if (age >= maxGenerationTime || (age >= generationTime && m_current.samples() >= minSamples)) {
        m_previous = age >= 2 * maxGenerationTime ? LatencyHistogram() : m_current;
        m_current = {};
        m_currentSince = now;
    }
    m_current.add(took);
}

std::optional<Common::Duration> RecentTimes::quantile(double q, Common::TimePoint now, std::uint32_t minSamples) const
{
    if (now - m_currentSince >= 2 * maxGenerationTime)
        return std::nullopt;
    auto all = m_previous;
    all.merge(m_current);
    return all.quantile(q, minSamples);
}

HedgePolicy::HedgePolicy(HedgePolicyOptions options)
    : m_options(options)
    , m_tokens(options.burst / std::max(1, options.gateways))
{
}

void HedgePolicy::setGateways(int gateways)
{
    // A gateway starts with its part of the burst as if it were alone; once it knows the others it keeps its part only.
    m_options.gateways = std::max(1, gateways);
    m_tokens = std::min(m_tokens, std::max(1.0, m_options.burst / m_options.gateways));
}

void HedgePolicy::retainRoutes(const std::function<bool(const std::string&)>& isKept)
{
    std::erase_if(m_times, [&](const auto& row) { return !isKept(row.first); });
}

void HedgePolicy::onRequest(Common::TimePoint now)
{
    decayCounts(now);
    m_recentRequests += 1;
    // At least one hedge can be saved up, or a gateway whose part of the burst is below one would never send any.
    m_tokens = std::min(std::max(1.0, m_options.burst / m_options.gateways), m_tokens + m_options.extraShare);
}

void HedgePolicy::onRequestHandedOver()
{
    m_tokens -= m_options.extraShare;
}

void HedgePolicy::onPushback(Common::TimePoint now)
{
    decayCounts(now);
    m_recentPushbacks += 1;
}

void HedgePolicy::decayCounts(Common::TimePoint now)
{
    auto weight = decay(now - m_countsUpdatedAt, m_options.pushbackMemory);
    m_recentRequests *= weight;
    m_recentPushbacks *= weight;
    m_countsUpdatedAt = now;
}

double HedgePolicy::pushbackShare(Common::TimePoint now) const
{
    auto weight = decay(now - m_countsUpdatedAt, m_options.pushbackMemory);
    return m_recentPushbacks * weight / (priorRequests + m_recentRequests * weight);
}

void HedgePolicy::onAttemptTime(const std::string& route, Common::Duration took, Common::TimePoint now)
{
    m_times[route].add(took, now, m_options.minSamples);
}

double HedgePolicy::quantile() const
{
    return std::clamp(1 - dueSharePerBudgetShare * m_options.extraShare, minQuantile, maxQuantile);
}

std::optional<Common::Duration> HedgePolicy::due(const std::string& route, const Timing& timing, Common::TimePoint now) const
{
    auto it = m_times.find(route);
    auto learned = it != m_times.end() ? it->second.quantile(quantile(), now, m_options.minSamples) : std::nullopt;
    auto due = std::max(learned.value_or(timing.fallback), timing.expected);
    return due + timing.hedgeExpected <= timing.left ? std::optional(due) : std::nullopt;
}

HedgeVerdict HedgePolicy::check(double retriesLeft, Common::TimePoint now) const
{
    if (pushbackShare(now) > m_options.maxPushbackShare)
        return HedgeVerdict::Busy;
    if (m_tokens < 1)
        return HedgeVerdict::NoBudget;
    return retriesLeft < 1 + m_options.retryReserve ? HedgeVerdict::NoRetryBudget : HedgeVerdict::Allowed;
}

bool acceptsHedge(const ServerSignal& signal, double workMs, int priority, double elapsedMs, const PlacementOptions& options)
{
    // The slots beyond the knee are for first attempts and retries of urgent requests: a hedge would slow down all work on the server.
    if (!signal.healthy || signal.cold || !hasCapacity(signal, std::max(1, priority), options))
        return false;
    // An attempt that has exceeded a high quantile of the response times is expected to need as long again.
    return expectedResponseMs(signal, workMs, options) < elapsedMs;
}

}
