#include "Soak/OrganisationChecks.h"

#include <algorithm>
#include <charconv>
#include <set>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "platform/Names.h"

namespace Soak {

namespace {

    namespace Names = PlatformAdapter::Names;
    using Common::TimePoint;
    using PlatformStandIn::ServerEvent;
    using enum Net::HttpStatus;

    // A time that is "never" stays so.
    TimePoint later(TimePoint time, Common::Duration by)
    {
        return time > TimePoint::max() - by ? TimePoint::max() : time + by;
    }

    // From when on a gateway must know of a change: after the time limit without a pause that kept it from hearing of it.
    TimePoint deadline(TimePoint acknowledged, Common::Duration limit, const std::vector<Interval>& blind)
    {
        auto end = later(acknowledged, limit);
        for (const auto& interval : blind) {
            if (interval.to > acknowledged && interval.from < end)
                end = std::max(end, later(interval.to, limit));
        }
        return end;
    }

    // The most times that lie in one window, and the first of them.
    std::pair<int, TimePoint> fullestWindow(const std::vector<TimePoint>& times, Common::Duration window)
    {
        std::pair<int, TimePoint> fullest {};
        for (std::size_t first = 0, end = 0; first < times.size(); ++first) {
            while (end < times.size() && times[end] < times[first] + window)
                ++end;
            if (static_cast<int>(end - first) > fullest.first)
                fullest = { static_cast<int>(end - first), times[first] };
        }
        return fullest;
    }

    class Judge {
    public:
        Judge(const OrganisationHistory& history, const Evidence& evidence, Coverage& coverage)
            : m_history(history)
            , m_evidence(evidence)
            , m_coverage(coverage)
        {
            for (const auto& outcome : evidence.outcomes)
                m_outcomes[outcome.id] = &outcome;
            for (const auto& [gateway, blind] : evidence.blind)
                m_blindOfAny.insert(m_blindOfAny.end(), blind.begin(), blind.end());
            std::sort(m_blindOfAny.begin(), m_blindOfAny.end(), [](const auto& a, const auto& b) { return a.from < b.from; });
        }

        std::vector<Finding> judge()
        {
            for (const auto& sighting : m_evidence.sightings) {
                if (sighting.event == ServerEvent::Run)
                    continue;
                checkEvacuation(sighting);
                if (sighting.event == ServerEvent::Arrival)
                    checkIdentity(sighting);
            }
            for (const auto& outcome : m_evidence.outcomes)
                checkOutcome(outcome);
            for (std::size_t i = 0; i < m_evidence.cold.size(); ++i)
                checkWarmup(i);
            for (std::size_t i = 0; i < m_history.limits().size(); ++i)
                checkAllowance(i);
            countEvacuations();
            return m_findings;
        }

    private:
        void add(Promise promise, TimePoint at, std::string text)
        {
            auto it = std::find_if(m_findings.begin(), m_findings.end(), [&](const auto& finding) { return finding.promise == promise; });
            if (it == m_findings.end())
                it = m_findings.insert(it, { .promise = promise, .count = 0, .at = at, .first = std::move(text) });
            ++it->count;
        }

        std::string describe(const Sighting& sighting) const
        {
            auto it = m_outcomes.find(sighting.id);
            return fmt::format("request {} with key {} over {} at server {}", sighting.id, sighting.key, it == m_outcomes.end() ? "?" : it->second->gateway, sighting.server);
        }

        void checkIdentity(const Sighting& sighting)
        {
            if (sighting.containsKey)
                add(Promise::KeyStaysHidden, sighting.at, describe(sighting));
            std::vector<std::string> expected;
            if (!sighting.isPublic && sighting.key != noKey)
                expected.push_back(OrganisationHistory::organisationOf(sighting.key));
            if (sighting.organisations != expected)
                add(Promise::OrganisationIsNamed, sighting.at, fmt::format("{}: got [{}], expected [{}]", describe(sighting), fmt::join(sighting.organisations, ","), fmt::join(expected, ",")));
            if (sighting.isPublic)
                return;
            auto periods = m_history.periodsOf(sighting.key);
            std::erase_if(periods, [&](const auto& period) { return period.begin.asked > sighting.at; });
            if (periods.empty())
                return add(Promise::KeyIsKnown, sighting.at, describe(sighting));
            auto it = m_outcomes.find(sighting.id);
            auto sent = it == m_outcomes.end() ? sighting.at : it->second->sent;
            auto end = later(periods.back().end.acknowledged, Bounds::revoke);
            if (sent > end)
                add(Promise::RevokedKeyEnds, sighting.at, fmt::format("{}, sent {:.0f} ms after the end of its time", describe(sighting), Common::toMilliseconds(sent - end)));
        }

        void checkEvacuation(const Sighting& sighting)
        {
            auto evacuations = m_evidence.evacuations.find(m_evidence.domains[sighting.server]);
            if (evacuations == m_evidence.evacuations.end())
                return;
            auto outcome = m_outcomes.find(sighting.id);
            // Which gateway sent a load probe is not known.
            auto own = outcome == m_outcomes.end() ? m_evidence.blind.end() : m_evidence.blind.find(outcome->second->gateway);
            for (const auto& period : evacuations->second) {
                auto from = deadline(period.begin.acknowledged, Bounds::evacuate, own == m_evidence.blind.end() ? m_blindOfAny : own->second);
                if (sighting.at > from && sighting.at < period.end.asked)
                    add(Promise::EvacuatedGetsNothing, sighting.at, fmt::format("{}, {:.0f} ms after the acknowledgement", sighting.event == ServerEvent::Probe ? fmt::format("a load probe at server {}", sighting.server) : describe(sighting), Common::toMilliseconds(sighting.at - period.begin.acknowledged)));
            }
        }

        void checkWarmup(std::size_t server)
        {
            for (const auto& cold : m_evidence.cold[server]) {
                std::vector<TimePoint> arrivals;
                for (const auto& sighting : m_evidence.sightings) {
                    if (sighting.server == server && sighting.event == ServerEvent::Arrival && sighting.at >= cold.from && sighting.at <= cold.to)
                        arrivals.push_back(sighting.at);
                }
                m_coverage.coldArrivals += static_cast<int>(arrivals.size());
                auto [n, at] = fullestWindow(arrivals, Bounds::warmupWindow);
                auto allowed = Bounds::warmupPerSecond * Bounds::warmupOverage + Bounds::warmupSlack;
                if (n > allowed)
                    add(Promise::ColdIsSpared, at, fmt::format("server {} got {} requests, {:.0f} allowed, from {:.0f} ms after it became cold", server, n, allowed, Common::toMilliseconds(at - cold.from)));
            }
        }

        // Gateways that are cut off apply a lowered limit, or serve nothing, at the latest when the time limit of a revocation ends.
        void checkAllowance(std::size_t organisation)
        {
            std::set<std::string> seen;
            std::vector<TimePoint> runs;
            for (const auto& sighting : m_evidence.sightings) {
                if (sighting.event == ServerEvent::Run && sighting.organisations == std::vector { OrganisationHistory::organisationOf(static_cast<int>(organisation)) } && seen.insert(sighting.id).second)
                    runs.push_back(sighting.at);
            }
            for (std::size_t first = 0, end = 0; first < runs.size(); ++first) {
                auto windowEnd = runs[first] + Bounds::allowanceWindow;
                while (end < runs.size() && runs[end] < windowEnd)
                    ++end;
                auto n = static_cast<double>(end - first);
                auto allowed = allowedIn(organisation, runs[first], windowEnd);
                if (allowed && n > *allowed / 2)
                    ++m_coverage.fullWindows;
                if (allowed && n > *allowed)
                    add(Promise::AllowanceHolds, runs[first], fmt::format("{} ran {} requests, {:.0f} allowed", OrganisationHistory::organisationOf(static_cast<int>(organisation)), n, *allowed));
            }
        }

        // Over all limits that may count in the window; nullopt: there may be none.
        std::optional<double> allowedIn(std::size_t organisation, TimePoint from, TimePoint to) const
        {
            double most = 0;
            for (const auto& limit : m_history.limits()[organisation]) {
                if (limit.period.begin.asked > to || later(limit.period.end.acknowledged, std::max(Bounds::apply, Bounds::revoke)) < from)
                    continue;
                if (limit.ratePerSecond <= 0)
                    return std::nullopt;
                most = std::max(most, limit.ratePerSecond * std::chrono::duration<double>(Bounds::allowanceWindow).count() + limit.burst);
            }
            return most * (1 + Bounds::allowanceOverage) + Bounds::allowanceSlack;
        }

        void checkOutcome(const Outcome& outcome)
        {
            auto describeOutcome = [&] { return fmt::format("request {} with key {} over {}{}", outcome.id, outcome.key, outcome.gateway, outcome.isPublic ? " on a public route" : ""); };
            auto periods = m_history.periodsOf(outcome.key);
            if (!outcome.isPublic && !periods.empty() && outcome.sent > later(periods.back().end.acknowledged, Bounds::revoke))
                ++m_coverage.sentTooLate;
            if (outcome.status == Unauthorized) {
                ++m_coverage.rejected;
                auto isInForce = std::any_of(periods.begin(), periods.end(), [&](const auto& period) { return later(period.begin.acknowledged, Bounds::apply) <= outcome.sent && outcome.ended < period.end.asked; });
                if (outcome.isPublic || isInForce)
                    add(Promise::RejectionIsCertain, outcome.sent, describeOutcome());
            }
            if (outcome.status != TooManyRequests)
                return;
            ++m_coverage.limited;
            // So many requests a second the callers never send.
            constexpr double unreachable = 1000;
            auto isReachable = [&](const auto& limit) { return limit.ratePerSecond > 0 && limit.ratePerSecond < unreachable; };
            const auto* limits = outcome.isPublic || outcome.key < 0 ? nullptr : &m_history.limits()[static_cast<std::size_t>(outcome.key) % m_history.limits().size()];
            if (!limits || std::none_of(limits->begin(), limits->end(), isReachable))
                add(Promise::OnlyLimitedAreLimited, outcome.sent, describeOutcome());
        }

        void countEvacuations()
        {
            for (const auto& [domain, periods] : m_evidence.evacuations) {
                for (const auto& period : periods)
                    m_coverage.evacuations += deadline(period.begin.acknowledged, Bounds::evacuate, m_blindOfAny) < period.end.asked ? 1 : 0;
            }
        }

        const OrganisationHistory& m_history;
        const Evidence& m_evidence;
        Coverage& m_coverage;
        std::map<std::string, const Outcome*> m_outcomes; // by request id
        std::vector<Interval> m_blindOfAny; // by ascending begin
        std::vector<Finding> m_findings;
    };

}

Sighting sightingOf(std::size_t server, ServerEvent event, const Net::Request& request)
{
    Sighting sighting { .at = TimePoint(std::chrono::steady_clock::now()), .server = server, .event = event };
    if (event == ServerEvent::Probe)
        return sighting;
    sighting.id = Net::findHeader(request.headers, Names::requestId).value_or("");
    auto number = Net::findHeader(request.headers, keyNumberHeader).value_or("");
    if (std::from_chars(number.data(), number.data() + number.size(), sighting.key).ec != std::errc())
        sighting.key = noKey;
    sighting.isPublic = !request.target.starts_with("/safe/") && !request.target.starts_with("/once/");
    sighting.containsKey = OrganisationHistory::containsKey(request.target) || OrganisationHistory::containsKey(request.body);
    for (const auto& [name, value] : request.headers) {
        sighting.containsKey = sighting.containsKey || OrganisationHistory::containsKey(value) || Net::equalsIgnoringCase(name, Names::apiKey);
        if (Net::equalsIgnoringCase(name, Names::organisation))
            sighting.organisations.push_back(value);
    }
    return sighting;
}

std::vector<Finding> findBroken(const OrganisationHistory& history, const Evidence& evidence, Coverage& coverage)
{
    return Judge(history, evidence, coverage).judge();
}

}
