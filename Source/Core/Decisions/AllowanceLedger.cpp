#include "Decisions/AllowanceLedger.h"

#include <algorithm>
#include <cmath>
#include <numeric>

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
    // The same while all gateways are answered at once.
    constexpr double urgentDeliveryTimeS = 0.08;
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
    // An organisation is not limited while the requests of the last window and of the next second are less than this share of the bound: a
    // small one may be in debt by requests that are spread over more than a window.
    constexpr double safeShareOfBound = 0.85;
    constexpr double lookaheadS = 1;
    // Time constant of the long-term rates, with which new reports are compared.
    constexpr double longTermS = 3;
    // A gateway's long-term rates are known when it has reported for so long.
    constexpr double minLongTermS = 1;
    // A shorter report is counted together with the one before: it would replace one that tells more.
    constexpr double minSampleS = 0.03;
    // The reports of these last times are compared with the long-term rates: a large change shows in few reports, a smaller one in many.
    constexpr std::array<double, 3> sampleTimesS { 0.1, 0.2, 0.35 };
    // The requests in these reports are improbable from this deviance of Poisson counts on, in standard deviations. With 3.5, a fleet of 221
    // gateways in the model asked about once a minute for reports that told of no change, and surges were limited no better.
    constexpr double changeDeviations = 4;
    // The fraction is changed before the reports asked for have come only if their sum differs by so many standard deviations of single
    // reports: callers that change gateways show in the reports of some before others.
    constexpr double minReportDeviations = 2.5;
    // Until reports have confirmed it, a new demand is taken to be overestimated by so many standard deviations. With 1, requests of callers
    // that had changed gateways were refused in the model.
    constexpr double estimateDeviations = 2;
    // Times at which a change may have begun: so many before now, in these steps.
    constexpr int changeSteps = 12;
    constexpr double changeStepS = 0.05;
    // Times at which it may have begun are considered up to this difference of the logarithm of their likelihood.
    constexpr double likelihoodMargin = 2;
    // Reports that were asked for are complete when this share of the gateways has sent them, or after a time: a small relay takes up to 0.3 s
    // to answer a large fleet.
    constexpr double completeShare = 0.9;
    constexpr double maxReportTimeS = 0.4;
    // A change that reports have not confirmed is not looked for again for so long.
    constexpr double minChangeIntervalS = 0.2;
    // In which the rates of the flows have followed a change.
    constexpr double changeTimeS = 1.0;

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
        addTokens(bucket, 0);
        if (isNew)
            bucket.fraction = bucket.fractionInForce = fractionOf(m_knownFractions, limit.organisation);
    }
}

void AllowanceLedger::charge(Bucket& bucket, double requests)
{
    bucket.admitted[static_cast<std::size_t>(m_windowSlot) % bucket.admitted.size()] += requests;
    addTokens(bucket, -requests);
}

void AllowanceLedger::addTokens(Bucket& bucket, double tokens)
{
    // A debt that is older than the window has no part in the bound any more.
    auto least = targetTokens(bucket.limit) - m_options.windowS * bucket.limit.ratePerSecond;
    bucket.tokens = std::clamp(bucket.tokens + tokens, least, capacity(bucket.limit));
}

bool AllowanceLedger::isFarBelowBound(const Bucket& bucket, Common::TimePoint now) const
{
    // What was admitted before this gateway led is not known.
    if (seconds(now - m_startedAt) < m_options.windowS)
        return false;
    const auto& limit = bucket.limit;
    auto bound = limit.ratePerSecond * m_options.windowS + limit.burst + m_options.tolerance(limit);
    return std::accumulate(bucket.admitted.begin(), bucket.admitted.end(), lookaheadS * bucket.demand) <= safeShareOfBound * bound;
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
    if (isRestarted) {
        source.flows.clear();
        source.longTermSeconds = 0;
    }
    // A process that has counted for less than the window, as after a restart of all gateways, is charged all its requests.
    auto isYoung = isNew && report.isFull && seconds(report.countedFor) < m_options.windowS;
    auto elapsed = isYoung ? seconds(report.countedFor) : isNew ? 0.0
                                                                : seconds(now - source.reportedAt);
    auto keep = std::exp(-elapsed / rateTimeS);
    // When any other one has counted what it reports first is not known: that is only a baseline.
    auto isBaseline = !isYoung && (isNew || (!source.isFull && !isRestarted));
    auto keepLongTerm = std::exp(-elapsed / longTermS);
    auto isSampleContinued = source.hasSample && elapsed < minSampleS;
    // A report that was held up on its way still tells of the time that the gateway counted.
    auto counted = isNew || isRestarted ? 0.0 : std::max(0.0, seconds(report.countedFor - source.countedFor));
    source.countedFor = report.countedFor;
    if (!isSampleContinued) {
        source.sampleSeconds = 0;
        source.hasSample = !isNew && !isBaseline && source.longTermSeconds >= minLongTermS;
    }
    source.sampleSeconds += counted;
    source.startedMs = report.startedMs;
    source.isFull |= report.isFull;
    source.reportedAt = now;
    for (auto& [organisation, flow] : source.flows) {
        flow.recentReceived *= keep;
        flow.recentAdmitted *= keep;
        if (!isSampleContinued) {
            flow.sampleReceived = 0;
            flow.rateBefore = source.longTermSeconds > 0 ? flow.longTermReceived / source.longTermSeconds : 0;
        }
        flow.longTermReceived *= keepLongTerm;
    }
    source.recentSeconds = source.recentSeconds * keep + elapsed;
    source.longTermSeconds = source.longTermSeconds * keepLongTerm + elapsed;
    for (const auto& usage : report.usage) {
        auto [row, isNewFlow] = source.flows.try_emplace(usage.organisation);
        auto& flow = row->second;
        if (usage.received < flow.received || usage.admitted < flow.admitted)
            continue;
        if (!isNewFlow || !isBaseline) {
            auto admitted = static_cast<double>(usage.admitted - flow.admitted);
            auto received = static_cast<double>(usage.received - flow.received);
            flow.recentReceived += received;
            flow.longTermReceived += received;
            flow.sampleReceived += received;
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
    auto slot = static_cast<std::int64_t>(seconds(now - m_startedAt) * windowSlots / m_options.windowS);
    for (auto& [organisation, bucket] : m_buckets) {
        for (auto it = std::max(m_windowSlot, slot - static_cast<std::int64_t>(bucket.admitted.size())); it < slot; ++it)
            bucket.admitted[static_cast<std::size_t>(it + 1) % bucket.admitted.size()] = 0;
        bucket.fractionInForce += (bucket.fraction - bucket.fractionInForce) * (1 - std::exp(-elapsed / (bucket.change ? urgentDeliveryTimeS : deliveryTimeS)));
        bucket.demandScale = bucket.change && bucket.demandOfFlows > 0 ? bucket.demand / bucket.demandOfFlows : 1;
        bucket.demand = bucket.demandOfFlows = bucket.assumed = 0;
        bucket.samples = {};
    }
    m_windowSlot = slot;
    for (auto& [gateway, source] : m_sources) {
        if (source.recentSeconds <= 0)
            continue;
        auto isSilent = seconds(now - source.reportedAt) > silentAfterS;
        auto rateTime = std::max(source.recentSeconds, minRateTimeS);
        auto reportAge = seconds(now - source.reportedAt);
        // Both are in the order of names. The test of the model took 20 times as long with look-ups for each flow and report.
        auto it = m_buckets.begin();
        for (auto& [organisation, flow] : source.flows) {
            while (it != m_buckets.end() && it->first < organisation)
                ++it;
            if (it == m_buckets.end())
                break;
            if (it->first != organisation)
                continue;
            auto& bucket = it->second;
            if (source.hasSample) {
                for (std::size_t i = 0; i < sampleTimesS.size(); ++i) {
                    if (reportAge > sampleTimesS[i])
                        continue;
                    auto expected = flow.rateBefore * source.sampleSeconds;
                    auto& sample = bucket.samples[i];
                    sample.received += flow.sampleReceived;
                    sample.expected += expected;
                    sample.squares += (flow.sampleReceived - expected) * (flow.sampleReceived - expected);
                }
            }
            if (flow.recentReceived < minRecentRequests)
                continue;
            auto received = flow.recentReceived / rateTime;
            bucket.demandOfFlows += received;
            received *= bucket.demandScale;
            auto assumed = (isSilent ? flow.recentAdmitted / rateTime : received * bucket.fractionInForce) * elapsed;
            bucket.demand += received;
            bucket.assumed += assumed;
            flow.assumed += assumed;
        }
    }
    for (auto& [organisation, bucket] : m_buckets) {
        charge(bucket, bucket.assumed);
        addTokens(bucket, bucket.limit.ratePerSecond * elapsed);
    }
}

std::optional<AllowanceLedger::Estimate> AllowanceLedger::estimateDemand(const Bucket& bucket, Common::TimePoint beganAt) const
{
    struct Row {
        double received = 0;
        double expected = 0; // up to the change
        double weight = 0; // times seconds after it
    };
    // A gateway's part in the new demand is taken to lie between an equal one and that in the old demand.
    double rateBefore = 0;
    double gateways = 0;
    for (const auto& [gateway, source] : m_sources) {
        if (!source.hasSample)
            continue;
        gateways += 1;
        if (auto it = source.flows.find(bucket.limit.organisation); it != source.flows.end())
            rateBefore += it->second.rateBefore;
    }
    std::vector<Row> rows;
    double received = 0;
    double expected = 0;
    double weight = 0;
    for (const auto& [gateway, source] : m_sources) {
        if (!source.hasSample)
            continue;
        auto it = source.flows.find(bucket.limit.organisation);
        auto rate = it == source.flows.end() ? 0.0 : it->second.rateBefore;
        auto share = rateBefore > 0 ? 0.5 / gateways + 0.5 * rate / rateBefore : 1 / gateways;
        auto length = source.sampleSeconds;
        auto after = std::clamp(seconds(source.reportedAt - beganAt), 0.0, length);
        auto& row = rows.emplace_back(Row { .received = it == source.flows.end() ? 0.0 : it->second.sampleReceived, .expected = rate * (length - after), .weight = share * after });
        if (after <= 0)
            continue;
        received += row.received;
        expected += row.expected;
        weight += row.weight;
    }
    if (weight <= 0)
        return std::nullopt;
    Estimate estimate;
    estimate.demand = std::max(0.0, received - expected) / weight;
    estimate.deviation = std::sqrt(received + 1) / weight;
    for (const auto& row : rows) {
        auto mean = std::max(1e-3, row.expected + estimate.demand * row.weight);
        estimate.logLikelihood += row.received * std::log(mean) - mean;
    }
    return estimate;
}

std::optional<AllowanceLedger::ChangeEstimate> AllowanceLedger::estimateChange(const Bucket& bucket, Common::TimePoint latest, double demandBefore) const
{
    struct Candidate {
        Common::TimePoint beganAt;
        Estimate estimate;
    };
    std::vector<Candidate> candidates;
    for (int step = 1; step <= changeSteps; ++step) {
        auto beganAt = latest - fromSeconds(changeStepS * step);
        if (auto estimate = estimateDemand(bucket, beganAt))
            candidates.push_back({ .beganAt = beganAt, .estimate = *estimate });
    }
    if (candidates.empty())
        return std::nullopt;
    auto best = std::max_element(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.estimate.logLikelihood < b.estimate.logLikelihood; });
    ChangeEstimate change { .beganAt = best->beganAt, .demand = best->estimate.demand, .cautiousDemand = best->estimate.demand };
    auto isRise = change.demand > demandBefore;
    // A small change that began long ago looks like a large one that has just begun.
    for (const auto& [beganAt, estimate] : candidates) {
        if (estimate.logLikelihood < best->estimate.logLikelihood - likelihoodMargin)
            continue;
        auto uncertainty = estimateDeviations * estimate.deviation;
        change.cautiousDemand = isRise ? std::max(demandBefore, std::min(change.cautiousDemand, estimate.demand - uncertainty))
                                       : std::min(demandBefore, std::max(change.cautiousDemand, estimate.demand + uncertainty));
    }
    return change;
}

double AllowanceLedger::Sample::deviations() const
{
    // A gateway without requests before is not expected to have any; one request tells nothing.
    auto mean = expected + 1;
    auto deviance = 2 * ((received > 0 ? received * std::log(received / mean) : 0) - (received - mean));
    return std::sqrt(std::max(0.0, deviance));
}

bool AllowanceLedger::Sample::isInManyReports() const
{
    return std::abs(received - expected) > minReportDeviations * std::sqrt(squares);
}

bool AllowanceLedger::isMaterial(const Bucket& bucket, double demandBefore, double demand) const
{
    auto least = surgeShare * m_options.tolerance(bucket.limit);
    return std::abs(demand - demandBefore) > least && (bucket.fraction < 1 || demand - bucket.limit.ratePerSecond > least);
}

void AllowanceLedger::detectChange(Bucket& bucket, Common::TimePoint now)
{
    if (now < bucket.detectAfter)
        return;
    auto isImprobable = false;
    auto isCertain = false;
    for (const auto& sample : bucket.samples) {
        if (bucket.fraction == 1 && sample.received < sample.expected)
            continue;
        if (sample.deviations() < changeDeviations)
            continue;
        isImprobable = true;
        isCertain |= sample.isInManyReports();
    }
    auto estimate = isImprobable ? estimateChange(bucket, now, bucket.demand) : std::nullopt;
    if (!estimate || !isMaterial(bucket, bucket.demand, estimate->demand))
        return;
    bucket.change = Change { .beganAt = estimate->beganAt, .detectedAt = now, .demandBefore = bucket.demand };
    m_isSurge = true;
    if (!isCertain || !isMaterial(bucket, bucket.demand, estimate->cautiousDemand))
        return;
    chargeUnreported(bucket, *bucket.change, estimate->cautiousDemand, now);
    bucket.demand = estimate->cautiousDemand;
}

void AllowanceLedger::followChange(Bucket& bucket, Common::TimePoint now)
{
    auto& change = *bucket.change;
    auto age = seconds(now - change.detectedAt);
    if (age > changeTimeS)
        return endChange(bucket);
    auto isComplete = age > maxReportTimeS || reportedShare(change.detectedAt, now) >= completeShare;
    if (!change.isConfirmed) {
        // More gateways have reported since: when the change began is known better now.
        auto estimate = estimateChange(bucket, change.detectedAt, change.demandBefore);
        change.isConfirmed = estimate && isMaterial(bucket, change.demandBefore, estimate->cautiousDemand);
        if (change.isConfirmed)
            change.beganAt = estimate->beganAt;
        else if (isComplete) {
            bucket.demand = bucket.demandOfFlows;
            bucket.detectAfter = now + fromSeconds(minChangeIntervalS);
            return bucket.change.reset();
        } else
            return;
        m_isSurge = true;
    } else if (!change.isComplete && isComplete)
        m_isSurge = change.isComplete = true;
    if (auto estimate = estimateDemand(bucket, change.beganAt))
        bucket.demand = estimate->demand;
}

double AllowanceLedger::reportedShare(Common::TimePoint since, Common::TimePoint now) const
{
    double reported = 0;
    double gateways = 0;
    for (const auto& [gateway, source] : m_sources) {
        if (seconds(now - source.reportedAt) > silentAfterS)
            continue;
        gateways += 1;
        reported += source.reportedAt > since ? 1 : 0;
    }
    return gateways > 0 ? reported / gateways : 1;
}

bool AllowanceLedger::isAwaitingReports() const
{
    return std::any_of(m_buckets.begin(), m_buckets.end(), [](const auto& row) { return row.second.change && !row.second.change->isConfirmed; });
}

void AllowanceLedger::chargeUnreported(Bucket& bucket, const Change& change, double demand, Common::TimePoint now)
{
    auto scale = bucket.demandOfFlows > 0 ? demand / bucket.demandOfFlows - 1 : 0;
    for (auto& [gateway, source] : m_sources) {
        auto it = source.flows.find(bucket.limit.organisation);
        if (it == source.flows.end() || source.recentSeconds <= 0)
            continue;
        auto& flow = it->second;
        auto received = flow.recentReceived / std::max(source.recentSeconds, minRateTimeS);
        auto unreported = seconds(now - std::max(source.reportedAt, change.beganAt));
        auto requests = std::max(-flow.assumed, scale * received * unreported * bucket.fractionInForce);
        flow.assumed += requests;
        charge(bucket, requests);
    }
}

void AllowanceLedger::endChange(Bucket& bucket)
{
    bucket.change.reset();
    auto scale = bucket.demandOfFlows > 0 ? bucket.demand / bucket.demandOfFlows : 1;
    for (auto& [gateway, source] : m_sources) {
        auto it = source.flows.find(bucket.limit.organisation);
        if (it == source.flows.end() || source.recentSeconds <= 0)
            continue;
        auto& flow = it->second;
        flow.recentReceived *= scale;
        flow.rateBefore = flow.recentReceived / source.recentSeconds;
        flow.longTermReceived = flow.rateBefore * source.longTermSeconds;
    }
}

void AllowanceLedger::updateFraction(Bucket& bucket, Common::TimePoint now)
{
    if (bucket.change)
        followChange(bucket, now);
    else
        detectChange(bucket, now);
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
    // Once it is limited, it is kept to its rate.
    if (bucket.fraction == 1 && isFarBelowBound(bucket, now))
        fraction = 1;
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

}
