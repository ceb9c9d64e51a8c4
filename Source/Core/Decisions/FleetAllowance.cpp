#include "Decisions/FleetAllowance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Decisions {

namespace {

    // Time constant of the rates: longer than an interval between reports of small fleets, short enough to follow a burst.
    constexpr double rateTimeS = 0.5;
    // One request in a shorter time would be taken for a high rate.
    constexpr double minRateTimeS = 0.4;
    // Time in which the bucket is brought to its target. Shorter than the delay of reports and fractions, the fractions would oscillate.
    constexpr double settleTimeS = 1.0;
    // Shares of the bound's tolerance by which the bucket may be in debt steadily: with no debt, the uneven demand of a fleet is refused
    // although it is within the allowance. Most of the tolerance of a small organisation is slack, and its demand is the most uneven.
    constexpr double debtShareOfOverage = 0.25;
    constexpr double debtShareOfSlack = 0.5;
    // A fraction stays while it is wrong by less than this share of the tolerance a second. Each change costs an answer to every gateway.
    constexpr double errorShare = 0.05;
    // In which a new fraction reaches the gateways.
    constexpr double deliveryTimeS = 0.3;
    // A gateway that has not reported for longer is silent: it keeps the fraction that it had.
    constexpr double silentAfterS = 1.5;
    // Fewer are what is left of requests long ago.
    constexpr double minRecentRequests = 0.001;
    // The demand is known when all gateways have reported twice.
    constexpr auto firstReportsTime = std::chrono::milliseconds(1500);
    // An organisation is limited only if its demand is too high by so many standard deviations.
    constexpr double noiseDeviations = 2;
    // A demand beyond the rate by this share of the tolerance is a surge: a bucket without tokens would exceed the bound within seconds.
    constexpr double surgeShare = 0.4;
    // A change of a fraction by less waits for the gateways' next requests.
    constexpr double materialChange = 0.25;
    // Minimum time between two changes that gateways are told of at once: the relay has to answer all of them.
    constexpr auto minRevisionInterval = std::chrono::milliseconds(200);
    // Reports of gateways that are silent for longer are forgotten.
    constexpr auto reportsKeptTime = std::chrono::seconds(10);

    double seconds(Common::Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }
    Common::Duration fromSeconds(double s)
    {
        return Common::fromMilliseconds(s * 1000);
    }

    // A bucket of less than one token would never admit a request.
    double capacity(const AllowanceLimit& limit)
    {
        return std::max(1.0, limit.burst);
    }

    using Fractions = std::map<std::string, double>;

    double fractionOf(const Fractions& fractions, const std::string& organisation)
    {
        auto it = fractions.find(organisation);
        return it == fractions.end() ? 1.0 : it->second;
    }

    bool differMaterially(const Fractions& a, const Fractions& b)
    {
        auto differs = [](const Fractions& own, const Fractions& other) {
            return std::any_of(own.begin(), own.end(), [&](const auto& row) {
                auto fraction = fractionOf(other, row.first);
                return (row.second < 1) != (fraction < 1) || std::abs(row.second - fraction) > materialChange * std::max(row.second, fraction);
            });
        };
        return differs(a, b) || differs(b, a);
    }

}

void AllowanceGate::setLimits(const std::vector<AllowanceLimit>& limits)
{
    for (auto& [organisation, state] : m_states)
        state.limit.reset();
    for (const auto& limit : limits) {
        auto [it, isNew] = m_states.try_emplace(limit.organisation);
        auto room = limit.burst + m_options.tolerance(limit);
        it->second.limit = limit;
        it->second.tokens = isNew ? room : std::min(it->second.tokens, room);
        it->second.usage.organisation = limit.organisation;
    }
    for (auto& [organisation, state] : m_states) {
        if (!state.limit)
            state.fraction = 1;
    }
}

AllowanceVerdict AllowanceGate::admit(const std::string& organisation, Common::TimePoint now, double random)
{
    auto it = m_states.find(organisation);
    if (it == m_states.end() || !it->second.limit)
        return {};
    auto& state = it->second;
    const auto& limit = *state.limit;
    ++state.usage.received;
    // One gateway alone must not exceed the bound either, also while it hears of no fraction.
    auto room = limit.burst + m_options.tolerance(limit);
    auto elapsed = state.refilledAt == Common::TimePoint() ? 0.0 : seconds(now - state.refilledAt);
    state.refilledAt = now;
    state.tokens = std::min(room, state.tokens + limit.ratePerSecond * std::max(0.0, elapsed));
    // The start is random, so that gateways with few requests admit the right number in sum.
    if (!state.remainder)
        state.remainder = random;
    *state.remainder += state.fraction;
    auto isWithinFraction = *state.remainder >= 1;
    if (isWithinFraction)
        *state.remainder -= 1;
    if (isWithinFraction && state.tokens >= 1) {
        state.tokens -= 1;
        ++state.usage.admitted;
        return {};
    }
    auto wait = std::max(fromSeconds(1 / limit.ratePerSecond), state.roomAt - now);
    if (state.tokens < 1)
        wait = std::max(wait, fromSeconds((1 - state.tokens) / limit.ratePerSecond));
    return { .isAdmitted = false, .wait = wait };
}

void AllowanceGate::setAllowances(const std::vector<Allowance>& allowances, Common::TimePoint now)
{
    for (auto& [organisation, state] : m_states)
        state.fraction = 1;
    for (const auto& allowance : allowances) {
        auto& state = m_states[allowance.organisation]; // the configuration with its limit may come later
        state.usage.organisation = allowance.organisation;
        state.fraction = std::clamp(allowance.fraction, 0.0, 1.0);
        state.roomAt = now + allowance.wait;
    }
}

std::vector<Allowance> AllowanceGate::allowances(Common::TimePoint now) const
{
    std::vector<Allowance> list;
    for (const auto& [organisation, state] : m_states) {
        if (state.fraction < 1)
            list.push_back({ .organisation = organisation, .fraction = state.fraction, .wait = std::max(Common::Duration::zero(), state.roomAt - now) });
    }
    return list;
}

std::vector<OrganisationUsage> AllowanceGate::usage() const
{
    std::vector<OrganisationUsage> list;
    for (const auto& [organisation, state] : m_states) {
        if (state.usage.received > 0)
            list.push_back(state.usage);
    }
    return list;
}

std::size_t AllowanceGate::limitedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_states.begin(), m_states.end(), [](const auto& row) { return row.second.limit && row.second.fraction < 1; }));
}

AllowanceLedger::AllowanceLedger(Common::TimePoint now, const std::vector<Allowance>& known, AllowanceOptions options)
    : m_options(options)
    , m_startedAt(now)
    , m_advancedAt(now)
{
    for (const auto& allowance : known)
        m_knownFractions[allowance.organisation] = allowance.fraction;
}

void AllowanceLedger::setLimits(const std::vector<AllowanceLimit>& limits)
{
    std::erase_if(m_buckets, [&](const auto& row) {
        return std::none_of(limits.begin(), limits.end(), [&](const auto& limit) { return limit.organisation == row.first; });
    });
    for (const auto& limit : limits) {
        auto [it, isNew] = m_buckets.try_emplace(limit.organisation);
        auto& bucket = it->second;
        bucket.limit = limit;
        charge(bucket, 0);
        if (isNew)
            bucket.fraction = bucket.fractionInForce = fractionOf(m_knownFractions, limit.organisation);
    }
}

void AllowanceLedger::charge(Bucket& bucket, double requests)
{
    // A debt that is older than the window has no part in the bound any more.
    auto least = targetTokens(bucket.limit) - m_options.windowS * bucket.limit.ratePerSecond;
    bucket.tokens = std::clamp(bucket.tokens - requests, least, capacity(bucket.limit));
}

void AllowanceLedger::charge(const std::string& organisation, double requests)
{
    if (auto it = m_buckets.find(organisation); it != m_buckets.end())
        charge(it->second, requests);
}

void AllowanceLedger::report(const UsageReport& report, Common::TimePoint now)
{
    auto [it, isNew] = m_sources.try_emplace(report.gateway);
    auto& source = it->second;
    if (!isNew && report.startedMs < source.startedMs)
        return;
    // A process that replaces one known here has counted from 0 since.
    auto isRestarted = !isNew && report.startedMs > source.startedMs;
    if (isRestarted)
        source.flows.clear();
    // A process that has counted for less than the window, as after a restart of all gateways, is charged all its requests.
    auto isYoung = isNew && report.isFull && seconds(report.countedFor) < m_options.windowS;
    auto elapsed = isYoung ? seconds(report.countedFor) : isNew ? 0.0
                                                                : seconds(now - source.reportedAt);
    auto keep = std::exp(-elapsed / rateTimeS);
    // When any other one has counted what it reports first is not known: that is only a baseline.
    auto isBaseline = !isYoung && (isNew || (!source.isFull && !isRestarted));
    source.startedMs = report.startedMs;
    source.isFull |= report.isFull;
    source.reportedAt = now;
    source.recentSeconds = source.recentSeconds * keep + elapsed;
    for (auto& [organisation, flow] : source.flows) {
        flow.recentReceived *= keep;
        flow.recentAdmitted *= keep;
    }
    for (const auto& usage : report.usage) {
        auto [row, isNewFlow] = source.flows.try_emplace(usage.organisation);
        auto& flow = row->second;
        if (usage.received < flow.received || usage.admitted < flow.admitted)
            continue;
        if (!isNewFlow || !isBaseline) {
            auto admitted = static_cast<double>(usage.admitted - flow.admitted);
            flow.recentReceived += static_cast<double>(usage.received - flow.received);
            flow.recentAdmitted += admitted;
            charge(usage.organisation, admitted);
        }
        flow.received = usage.received;
        flow.admitted = usage.admitted;
    }
    for (auto& [organisation, flow] : source.flows) {
        if (flow.assumed > 0)
            charge(organisation, -std::exchange(flow.assumed, 0.0));
    }
}

// Refills the buckets, and charges them what the gateways have probably admitted since their reports.
void AllowanceLedger::advance(Common::TimePoint now)
{
    auto elapsed = seconds(now - m_advancedAt);
    if (elapsed <= 0)
        return;
    m_advancedAt = now;
    std::erase_if(m_sources, [&](const auto& row) { return now - row.second.reportedAt > m_options.reserveTime; });
    for (auto& [organisation, bucket] : m_buckets) {
        bucket.fractionInForce += (bucket.fraction - bucket.fractionInForce) * (1 - std::exp(-elapsed / deliveryTimeS));
        bucket.demand = bucket.assumed = 0;
    }
    for (auto& [gateway, source] : m_sources) {
        if (source.recentSeconds <= 0)
            continue;
        auto isSilent = seconds(now - source.reportedAt) > silentAfterS;
        auto rateTime = std::max(source.recentSeconds, minRateTimeS);
        // Both are in the order of names. The test of the model took 20 times as long with look-ups for each flow and report.
        auto it = m_buckets.begin();
        for (auto& [organisation, flow] : source.flows) {
            while (it != m_buckets.end() && it->first < organisation)
                ++it;
            if (it == m_buckets.end())
                break;
            if (it->first != organisation || flow.recentReceived < minRecentRequests)
                continue;
            auto& bucket = it->second;
            auto received = flow.recentReceived / rateTime;
            auto assumed = (isSilent ? flow.recentAdmitted / rateTime : received * bucket.fractionInForce) * elapsed;
            bucket.demand += received;
            bucket.assumed += assumed;
            flow.assumed += assumed;
        }
    }
    for (auto& [organisation, bucket] : m_buckets)
        charge(bucket, bucket.assumed - bucket.limit.ratePerSecond * elapsed);
}

void AllowanceLedger::updateFraction(Bucket& bucket, Common::TimePoint now)
{
    auto tolerance = m_options.tolerance(bucket.limit);
    // Reports lag behind a rise by half a second in a large fleet. Answered now, all gateways report what they know now.
    auto isSurging = bucket.demand - bucket.limit.ratePerSecond > surgeShare * tolerance;
    m_isSurge |= isSurging && !bucket.isSurging;
    if (isSurging || bucket.demand < bucket.limit.ratePerSecond)
        bucket.isSurging = isSurging;
    auto wanted = bucket.limit.ratePerSecond + (bucket.tokens - targetTokens(bucket.limit)) / settleTimeS;
    auto fraction = wanted >= bucket.demand ? 1.0 : std::max(0.0, wanted / bucket.demand);
    if (now - m_startedAt < firstReportsTime)
        fraction = std::min(fraction, fractionOf(m_knownFractions, bucket.limit.organisation));
    auto isRecovered = fraction == 1 && bucket.tokens >= 0;
    auto error = errorShare * tolerance;
    // The requests of a small organisation in half a second are too few to tell its demand.
    if (bucket.fraction == 1)
        error += noiseDeviations * std::sqrt(bucket.demand);
    if (isRecovered || std::abs(wanted - bucket.fraction * bucket.demand) > error)
        bucket.fraction = fraction;
}

// Negative: the debt that is kept up under steady excess demand.
double AllowanceLedger::targetTokens(const AllowanceLimit& limit) const
{
    auto slack = std::min(m_options.slack, m_options.tolerance(limit));
    return -debtShareOfSlack * slack - debtShareOfOverage * (m_options.tolerance(limit) - slack);
}

std::vector<Allowance> AllowanceLedger::update(Common::TimePoint now)
{
    advance(now);
    std::vector<Allowance> list;
    for (auto& [organisation, bucket] : m_buckets) {
        updateFraction(bucket, now);
        if (bucket.fraction < 1) {
            auto missing = std::max(0.0, targetTokens(bucket.limit) + 1 - bucket.tokens);
            list.push_back({ .organisation = organisation, .fraction = bucket.fraction, .wait = fromSeconds(missing / bucket.limit.ratePerSecond) });
        }
    }
    return list;
}

double AllowanceLedger::balance(const std::string& organisation) const
{
    auto it = m_buckets.find(organisation);
    return it == m_buckets.end() ? 0 : it->second.tokens;
}

void UsageReports::merge(const UsageReport& report, Common::TimePoint now)
{
    auto& source = m_sources[report.gateway];
    if (report.startedMs < source.startedMs)
        return;
    if (report.startedMs > source.startedMs)
        source = {};
    source.startedMs = report.startedMs;
    ++m_revision;
    source.isFull |= report.isFull;
    source.countedFor = report.countedFor;
    source.reportedAt = now;
    source.reportedIn = m_revision;
    for (const auto& usage : report.usage) {
        auto& entry = source.entries[usage.organisation];
        if (entry.revision != 0 && (usage.received <= entry.usage.received || usage.admitted < entry.usage.admitted))
            continue;
        entry = { .usage = usage, .revision = m_revision };
    }
}

std::vector<UsageReport> UsageReports::since(std::uint64_t revision) const
{
    std::vector<UsageReport> reports;
    for (const auto& [gateway, source] : m_sources) {
        // A report without changes tells that the gateway has had no requests.
        if (source.reportedIn <= revision)
            continue;
        auto isFull = revision == 0 && source.isFull;
        UsageReport report { .gateway = gateway, .startedMs = source.startedMs, .isFull = isFull, .countedFor = source.countedFor, .usage = {} };
        for (const auto& [organisation, entry] : source.entries) {
            if (entry.revision > revision)
                report.usage.push_back(entry.usage);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

void UsageReports::expire(Common::TimePoint now)
{
    std::erase_if(m_sources, [&](const auto& row) { return now - row.second.reportedAt > reportsKeptTime; });
}

void FleetAllowance::setLimits(std::vector<AllowanceLimit> limits)
{
    m_limits = std::move(limits);
    m_gate.setLimits(m_limits);
    if (m_ledger)
        m_ledger->setLimits(m_limits);
}

void FleetAllowance::merge(const std::vector<UsageReport>& reports, Common::TimePoint now)
{
    for (const auto& report : reports) {
        m_reports.merge(report, now);
        if (m_ledger)
            m_ledger->report(report, now);
    }
}

void FleetAllowance::recordOwn(const std::string& gateway, std::int64_t startedMs, Common::TimePoint now)
{
    if (m_countedSince == Common::TimePoint())
        m_countedSince = now;
    UsageReport report { .gateway = gateway, .startedMs = startedMs, .isFull = true, .countedFor = now - m_countedSince, .usage = m_gate.usage() };
    m_reports.expire(now);
    m_reports.merge(report, now);
    if (m_ledger)
        m_ledger->report(report, now);
}

bool FleetAllowance::apply(const std::vector<Allowance>& allowances, Common::TimePoint now)
{
    // The leading relay's own ledger decides; the standby only repeats what it was told.
    return !m_ledger && setAllowances(allowances, now);
}

bool FleetAllowance::lead(bool isLeader, Common::TimePoint now)
{
    if (!isLeader || !isActive()) {
        m_ledger.reset();
        return false;
    }
    if (!m_ledger) {
        m_ledger.emplace(now, m_gate.allowances(now), m_options);
        m_ledger->setLimits(m_limits);
    }
    auto allowances = m_ledger->update(now);
    return setAllowances(allowances, now, m_ledger->takeSurge());
}

bool FleetAllowance::setAllowances(const std::vector<Allowance>& allowances, Common::TimePoint now, bool isUrgent)
{
    m_gate.setAllowances(allowances, now);
    std::map<std::string, double> fractions;
    for (const auto& allowance : allowances)
        fractions[allowance.organisation] = allowance.fraction;
    auto isChanged = isUrgent || differMaterially(fractions, m_toldFractions);
    if (m_revision != 0 && (!isChanged || now - m_revisedAt < minRevisionInterval))
        return false;
    ++m_revision;
    m_revisedAt = now;
    m_toldFractions = std::move(fractions);
    return isChanged;
}

std::optional<std::vector<Allowance>> FleetAllowance::allowances(Common::TimePoint now) const
{
    return m_revision == 0 ? std::nullopt : std::optional(m_gate.allowances(now));
}

}
