#include "Decisions/FleetAllowance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Decisions {

namespace {

    using Fractions = std::map<std::string, double>;

    // Intervals of the calculation, usually and while reports that were asked for arrive.
    constexpr auto usualInterval = std::chrono::milliseconds(100);
    constexpr auto awaitingInterval = std::chrono::milliseconds(50);
    // A change of a fraction by less waits for the gateways' next requests.
    constexpr double materialChange = 0.25;
    // Minimum time between two changes that gateways are told of at once: the relay has to answer all of them.
    constexpr auto minRevisionInterval = std::chrono::milliseconds(200);
    // A change of the demand takes three answers: one that asks for reports, one with the fraction by the first of them, and one with that by
    // all. They may come sooner by this time, and the next ones come later by as much.
    constexpr auto urgentAdvance = std::chrono::milliseconds(360);
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

Common::Duration FleetAllowance::leadInterval() const
{
    return m_ledger && m_ledger->isAwaitingReports() ? awaitingInterval : usualInterval;
}

bool FleetAllowance::setAllowances(const std::vector<Allowance>& allowances, Common::TimePoint now, bool isUrgent)
{
    m_gate.setAllowances(allowances, now);
    std::map<std::string, double> fractions;
    for (const auto& allowance : allowances)
        fractions[allowance.organisation] = allowance.fraction;
    auto isChanged = isUrgent || differMaterially(fractions, m_toldFractions);
    auto advance = isUrgent ? Common::Duration(urgentAdvance) : Common::Duration::zero();
    if (m_revision != 0 && (!isChanged || now + advance < m_nextRevisionAt))
        return false;
    ++m_revision;
    m_nextRevisionAt = std::max(now, m_nextRevisionAt) + minRevisionInterval;
    m_toldFractions = std::move(fractions);
    return isChanged;
}

std::optional<std::vector<Allowance>> FleetAllowance::allowances(Common::TimePoint now) const
{
    return m_revision == 0 ? std::nullopt : std::optional(m_gate.allowances(now));
}

}
