#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/Clock.h"

namespace Decisions {

// The allowance of one organisation, over all gateways.
struct AllowanceLimit {
    std::string organisation;
    double ratePerSecond = 0;
    double burst = 0;
    bool operator==(const AllowanceLimit&) const = default;
};

// How much a gateway admits of the requests of an organisation that is near its allowance.
struct Allowance {
    std::string organisation;
    double fraction = 1; // of the requests
    Common::Duration wait {}; // until the organisation's bucket has room
};

// Requests of one organisation at one gateway since the gateway's process started.
struct OrganisationUsage {
    std::string organisation;
    std::uint64_t received = 0;
    std::uint64_t admitted = 0;
};

// What one gateway has counted. Applying a report twice, or an older one after a newer one, has no effect.
struct UsageReport {
    std::string gateway; // control address
    std::int64_t startedMs = 0; // start of its process
    bool isFull = false; // names all organisations; else only those whose counts have changed
    Common::Duration countedFor {};
    std::vector<OrganisationUsage> usage;
};

// The operators' bound on an organisation's requests in any window: (rate x window + burst) x (1 + overage) + slack.
struct AllowanceOptions {
    double windowS = 5;
    double overage = 0.1;
    double slack = 20;
    Common::Duration reserveTime = std::chrono::seconds(5); // for which a silent gateway's last rate is assumed to go on

    // Requests beyond rate and burst that the bound leaves.
    double tolerance(const AllowanceLimit& limit) const { return overage * (limit.ratePerSecond * windowS + limit.burst) + slack; }
};

struct AllowanceVerdict {
    bool isAdmitted = true;
    Common::Duration wait {}; // if not: until there is room again
};

// Decides at one gateway which requests are within their organisation's allowance, by the fractions that the leading relay tells.
class AllowanceGate {
public:
    explicit AllowanceGate(AllowanceOptions options = {})
        : m_options(options)
    {
    }

    void setLimits(const std::vector<AllowanceLimit>&);
    // Organisations without a limit need not be asked for. `random`: uniform in [0, 1); the first one of an organisation decides which of its
    // requests are admitted.
    AllowanceVerdict admit(const std::string& organisation, Common::TimePoint now, double random);
    // Replaces all fractions.
    void setAllowances(const std::vector<Allowance>&, Common::TimePoint now);
    // As last set, with the waits that are left.
    std::vector<Allowance> allowances(Common::TimePoint now) const;
    std::vector<OrganisationUsage> usage() const;
    // Organisations of which not all requests are admitted.
    std::size_t limitedCount() const;

private:
    struct State {
        std::optional<AllowanceLimit> limit;
        double fraction = 1;
        Common::TimePoint roomAt; // when the organisation's bucket has room
        std::optional<double> remainder; // of the error diffusion; empty before the first request
        double tokens = 0; // of this gateway alone
        Common::TimePoint refilledAt;
        OrganisationUsage usage;
    };

    AllowanceOptions m_options;
    std::map<std::string, State> m_states; // by organisation. Kept when the limit goes, since counts must not decrease.
};

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

// Latest counts of this gateway and of those that report through it.
class UsageReports {
public:
    void merge(const UsageReport&, Common::TimePoint now);
    // What has changed since the revision; 0: everything.
    std::vector<UsageReport> since(std::uint64_t revision) const;
    std::uint64_t revision() const { return m_revision; }
    // Forgets gateways that have not reported for some time.
    void expire(Common::TimePoint now);

private:
    struct Entry {
        OrganisationUsage usage;
        std::uint64_t revision = 0;
    };
    struct Source {
        std::int64_t startedMs = 0;
        bool isFull = false;
        Common::Duration countedFor {};
        Common::TimePoint reportedAt;
        std::uint64_t reportedIn = 0; // revision
        std::map<std::string, Entry> entries;
    };

    std::map<std::string, Source> m_sources; // by gateway
    std::uint64_t m_revision = 0;
};

// All of one gateway's part in the allowances: its gate, the reports that it passes on and, while it leads the relays, the ledger.
class FleetAllowance {
public:
    explicit FleetAllowance(AllowanceOptions options = {})
        : m_options(options)
        , m_gate(options)
    {
    }

    // Whether any organisation has a limit. Otherwise nothing is to be sent or calculated.
    bool isActive() const { return !m_limits.empty(); }
    void setLimits(std::vector<AllowanceLimit>);
    AllowanceGate& gate() { return m_gate; }
    const AllowanceGate& gate() const { return m_gate; }

    // Takes in reports of other gateways.
    void merge(const std::vector<UsageReport>&, Common::TimePoint now);
    // Brings this gateway's own counts into the reports. Called before usageSince() and usageRevision().
    void recordOwn(const std::string& gateway, std::int64_t startedMs, Common::TimePoint now);
    std::vector<UsageReport> usageSince(std::uint64_t revision) const { return m_reports.since(revision); }
    std::uint64_t usageRevision() const { return m_reports.revision(); }

    // Takes over the fractions that a relay tells. Returns whether others have to be told at once.
    bool apply(const std::vector<Allowance>&, Common::TimePoint now);
    // Calculates the fractions anew, if this gateway leads the relays. Returns whether others have to be told at once.
    bool lead(bool isLeader, Common::TimePoint now);
    // The fractions to tell others; nullopt: none are known.
    std::optional<std::vector<Allowance>> allowances(Common::TimePoint now) const;
    // Grows when others have to be told; 0: none are known.
    std::uint64_t revision() const { return m_revision; }
    bool isLeading() const { return m_ledger.has_value(); }
    // Until lead() is to be called again, while this gateway leads.
    Common::Duration leadInterval() const;

private:
    bool setAllowances(const std::vector<Allowance>&, Common::TimePoint now, bool isUrgent = false);

    AllowanceOptions m_options;
    std::vector<AllowanceLimit> m_limits;
    AllowanceGate m_gate;
    UsageReports m_reports;
    std::optional<AllowanceLedger> m_ledger;
    Common::TimePoint m_countedSince;
    std::uint64_t m_revision = 0;
    Common::TimePoint m_nextRevisionAt; // at the mean rate at which others may be told at once
    std::map<std::string, double> m_toldFractions; // by organisation; of the last revision
};

}
