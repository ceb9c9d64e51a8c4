#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Decisions/AllowanceLedger.h"

namespace Decisions {

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
