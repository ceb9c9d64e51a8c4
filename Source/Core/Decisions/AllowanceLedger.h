#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Decisions/Allowance.h"

namespace Decisions {

// Calculates at the leading relay which fraction of each organisation's requests all gateways admit.
class AllowanceLedger {
public:
    // `known`: the fractions in force; they stay until there are reports to calculate new ones.
    AllowanceLedger(Common::TimePoint now, const std::vector<Allowance>& known, AllowanceOptions options = {});

    void setLimits(const std::vector<AllowanceLimit>&);
    void report(const UsageReport&, Common::TimePoint now);
    // The organisations near their allowance. Called several times a second.
    std::vector<Allowance> update(Common::TimePoint now);
    // Whether reports were asked for that update() waits for.
    bool isAwaitingReports() const;
    // Whether an organisation's demand has changed so much that new reports are needed at once. Tells it three times for each change: when it
    // is detected, when the first reports asked for have confirmed it, and when all have come.
    bool takeSurge() { return std::exchange(m_isSurge, false); }
    // Tokens in the organisation's bucket; below 0: requests admitted in excess.
    double balance(const std::string& organisation) const;

private:
    // A sudden change of the demand, while the rates of the flows have not followed it.
    struct Change {
        Common::TimePoint beganAt; // estimated
        Common::TimePoint detectedAt;
        double demandBefore = 0;
        bool isConfirmed = false; // by reports that were asked for
        bool isComplete = false; // nearly all gateways have reported
    };
    // Requests in the reports of a short time, and those expected from the long-term rates.
    struct Sample {
        double received = 0;
        double expected = 0;
        double squares = 0; // of the differences of the single reports
        // Standard deviations by which the requests differ from those expected.
        double deviations() const;
        // Whether callers that have changed gateways are an unlikely reason.
        bool isInManyReports() const;
    };
    static constexpr std::size_t windowSlots = 10;
    struct Bucket {
        AllowanceLimit limit;
        std::array<double, windowSlots + 1> admitted {}; // in each part of the window, and in the part that is running
        double tokens = 0;
        double fraction = 1; // as last calculated
        double fractionInForce = 1; // follows it by the time that it takes to reach the gateways
        double demand = 0; // requests a second
        double demandOfFlows = 0; // by the rates of the flows
        double demandScale = 1; // between the two, while a change goes on
        std::array<Sample, 3> samples; // for each of sampleTimesS
        std::optional<Change> change;
        Common::TimePoint detectAfter; // until then a change is not looked for
        double assumed = 0; // admitted requests since the last time, of all gateways
        bool isSurging = false; // the demand is far beyond the rate
    };
    // Of one organisation at one gateway.
    struct Flow {
        std::uint64_t received = 0; // as reported last
        std::uint64_t admitted = 0;
        double recentReceived = 0; // decaying
        double recentAdmitted = 0;
        double assumed = 0; // admitted requests charged since the last report
        double longTermReceived = 0; // decaying more slowly
        double sampleReceived = 0; // in the source's sample
        double rateBefore = 0; // long-term rate before the sample
    };
    struct Source {
        std::int64_t startedMs = 0;
        bool isFull = false; // a flow that is not known had no requests before
        Common::TimePoint reportedAt;
        double recentSeconds = 0; // decaying, as the counts of the flows
        double longTermSeconds = 0; // decaying, as the long-term counts
        Common::Duration countedFor {}; // as reported last
        double sampleSeconds = 0; // length of the time up to reportedAt of which the last report tells
        bool hasSample = false; // the long-term rates before the last report are known
        std::map<std::string, Flow> flows; // by organisation
    };

    void advance(Common::TimePoint now);
    void charge(Bucket&, double requests);
    void addTokens(Bucket&, double tokens);
    // Whether the requests of the last window and those of the next time leave much room.
    bool isFarBelowBound(const Bucket&, Common::TimePoint now) const;
    void charge(const std::string& organisation, double requests);
    void updateFraction(Bucket&, Common::TimePoint now);
    void detectChange(Bucket&, Common::TimePoint now);
    void followChange(Bucket&, Common::TimePoint now);
    // Adds up what the last reports tell of the demand since a time at which it may have changed.
    struct Estimate {
        double demand = 0; // requests a second
        double deviation = 0;
        double logLikelihood = 0;
    };
    std::optional<Estimate> estimateDemand(const Bucket&, Common::TimePoint beganAt) const;
    struct ChangeEstimate {
        Common::TimePoint beganAt;
        double demand = 0;
        double cautiousDemand = 0; // the one nearest to that before which is not improbable
    };
    std::optional<ChangeEstimate> estimateChange(const Bucket&, Common::TimePoint latest, double demandBefore) const;
    // Share of the gateways that have reported since, of those that are not silent.
    double reportedShare(Common::TimePoint since, Common::TimePoint now) const;
    // Whether the change is large enough to be told of at once.
    bool isMaterial(const Bucket&, double demandBefore, double demand) const;
    // Charges the requests that came since the change and that no report tells of yet.
    void chargeUnreported(Bucket&, const Change&, double demand, Common::TimePoint now);
    // From here on the rates from before the change are not expected any more.
    void endChange(Bucket&);
    double targetTokens(const AllowanceLimit&) const;

    AllowanceOptions m_options;
    Common::TimePoint m_startedAt;
    Common::TimePoint m_advancedAt;
    std::int64_t m_windowSlot = 0; // that is running, counted since m_startedAt
    bool m_isSurge = false;
    std::map<std::string, double> m_knownFractions; // by organisation; those of the previous leader
    std::map<std::string, Bucket> m_buckets; // by organisation
    std::map<std::string, Source> m_sources; // by gateway
};

}
