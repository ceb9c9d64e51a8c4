#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "Common/Clock.h"

namespace Decisions {

struct CrashSuspectOptions {
    // Different servers that have to end under a request before it is blocked.
    std::size_t serversToBlock = 3;
    // Different servers after which all gateways are told. One alone is most often a server that ended for another reason.
    std::size_t serversToShare = 2;
    // Time after the last crash for which the crashes of a request that is not blocked are remembered.
    Common::Duration suspectMemory = std::chrono::minutes(5);
    // Time after the last arrival for which a request stays blocked.
    Common::Duration blockMemory = std::chrono::minutes(10);
    std::size_t maxSuspects = 1024;
    // Identities of answered requests that are remembered, at least; at most twice as many.
    std::size_t answeredMemory = 4096;
};

// What one gateway tells another of a request. Merging is commutative and idempotent.
struct CrashReport {
    std::uint64_t identity = 0; // of the request
    std::vector<std::uint64_t> servers; // digests of the incarnations that ended under it, in ascending order, at most serversToBlock
    bool answered = false; // some server ran it to its end, so it does not crash servers

    bool operator==(const CrashReport&) const = default;
};

// Finds requests that crash each server that begins to run them, and blocks them. Servers also end for other reasons and take all requests
// with them that they run, so a request is only blocked if several servers ended under it and none has ever answered it.
class CrashSuspects {
public:
    explicit CrashSuspects(CrashSuspectOptions options = {});

    // A server ended while it ran the request. Returns whether that was news.
    bool recordCrash(std::uint64_t identity, std::uint64_t server, Common::TimePoint now);
    // A server ran the request to its end.
    void recordAnswer(std::uint64_t identity);
    // Whether an arriving request has to be refused.
    bool refuses(std::uint64_t identity, Common::TimePoint now);
    bool isBlocked(std::uint64_t identity) const;
    // Servers that ended under the request; 0 if it was answered.
    std::size_t crashes(std::uint64_t identity) const;
    // Whether it may be sent to a further server in the same arrival.
    bool mayRetry(std::uint64_t identity) const { return crashes(identity) + 1 < m_options.serversToBlock; }

    // Takes over what another gateway knows. Returns whether something that other gateways have to be told was new.
    bool merge(const std::vector<CrashReport>&, Common::TimePoint now);
    // For the relay: all that this gateway has learned since a revision (0: all).
    std::vector<CrashReport> learnedSince(std::uint64_t revision) const;
    // For other gateways: the same, without requests under which fewer than serversToShare servers ended.
    std::vector<CrashReport> sharedSince(std::uint64_t revision) const;
    // The blocked requests, in the order of their identities.
    std::vector<CrashReport> blockedReports() const;
    // Grows with each change.
    std::uint64_t revision() const { return m_revision; }
    // Revision of the last change that sharedSince() tells of.
    std::uint64_t sharedRevision() const { return m_sharedRevision; }

    void expire(Common::TimePoint now);
    std::size_t blocked() const;
    std::size_t size() const { return m_suspects.size(); }

private:
    struct Suspect {
        std::vector<std::uint64_t> servers; // ascending
        bool answered = false;
        Common::TimePoint lastSeen; // last crash, or last arrival of a blocked request
        std::uint64_t changedAt = 0; // revision
    };

    bool isBlocked(const Suspect& suspect) const { return !suspect.answered && suspect.servers.size() >= m_options.serversToBlock; }
    bool wasAnswered(std::uint64_t identity) const { return m_answered.contains(identity) || m_answeredBefore.contains(identity); }
    bool addServer(Suspect&, std::uint64_t server) const;
    void markChanged(Suspect&);
    void makeRoom();

    CrashSuspectOptions m_options;
    std::unordered_map<std::uint64_t, Suspect> m_suspects; // by identity
    // Two generations: when the newer one is full, it replaces the older one.
    std::unordered_set<std::uint64_t> m_answered;
    std::unordered_set<std::uint64_t> m_answeredBefore;
    std::uint64_t m_revision = 0;
    std::uint64_t m_sharedRevision = 0;
};

}
