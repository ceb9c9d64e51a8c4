#pragma once

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "Common/Clock.h"
#include "Decisions/GossipMessage.h"
#include "Decisions/HintBroadcastQueue.h"

namespace Decisions {

struct MembershipOptions {
    Common::Hooks hooks;
    MemberRecord self; // incarnation: start time in ms since the epoch
    Common::Duration probeInterval = std::chrono::milliseconds(500);
    // Time without an Ack after which a ping is repeated; with the third ping, other members are asked to ping as well.
    Common::Duration directTimeout = std::chrono::milliseconds(150);
    // Time without an Ack after which the member is suspected.
    Common::Duration probeTimeout = std::chrono::milliseconds(800);
    // Time for a suspected member to refute, after which it counts as failed. For up to 10 members; grows with their logarithm.
    Common::Duration suspicionTime = std::chrono::seconds(2);
    // Between pings to failed members and to entries that only the platform lists.
    Common::Duration unreachedPingInterval = std::chrono::seconds(1);
    // Between anti-entropy messages, each of which sends a batch of the member table to one member.
    Common::Duration syncInterval = std::chrono::seconds(4);
    // Time after which a failed member that the platform does not list is forgotten.
    Common::Duration failedRetention = std::chrono::minutes(3);
    Common::Duration hintRetention = std::chrono::minutes(2);
    int indirectProbes = 3; // members asked to ping a member that does not answer
    int pushFanOut = 5; // receivers of pushed updates, each tick
    int pushRounds = 3; // ticks in which an update is pushed
    std::size_t payloadBytes = 1000; // bound of records and hints in one datagram
    std::size_t pushBytesPerSecond = 2500; // above it, pushes are left out and updates travel with other messages
    std::size_t maxMembers = 1024; // further ones are ignored
    std::size_t maxHints = 2048; // beyond that the one received earliest is dropped
};

// An entry in the platform's list of instances.
struct ListedEntry {
    std::string peerAddress;
    std::string address;
    std::string failureDomain;
};

enum class MemberChange {
    Joined,
    Suspected,
    Refuted, // suspected before, now alive
    Leaving,
    Failed,
};

struct MemberEvent {
    MemberChange change = MemberChange::Joined;
    MemberRecord member;
};

// Revision of the record log that is in force at another entry.
struct RemoteHead {
    std::uint64_t revision = 0;
    std::string from; // peer address of that entry
};

// Messages to send and changes to report after one message or tick.
struct GossipActions {
    std::vector<GossipSend> sends;
    std::vector<MemberEvent> events;
    std::vector<ServerHint> hints; // newer than what was known here
    std::optional<RemoteHead> head; // only if newer than the one in force here
};

struct MemberView {
    MemberRecord record;
    std::uint64_t headRevision = 0; // from the last message of the member
};

// Failure detection and dissemination between entries after the SWIM protocol: direct and indirect pings, suspicion,
// incarnations and refutation. Updates are piggybacked on every message a bounded number of times; urgent ones are also pushed
// at once. Not thread-safe.
class Membership {
public:
    explicit Membership(MembershipOptions);

    GossipActions receive(const GossipMessage&);
    // To be called about every 100 ms.
    GossipActions tick();

    // Entries that the platform lists. They are pinged; what gossip says of an entry takes precedence.
    void setInstances(std::span<const ListedEntry>);
    // Revision in force here; pushed to others when it grows.
    void setHead(std::uint64_t revision);
    void publishHint(const ServerHint&);
    // Whether directories may name this entry to callers, and for which services, as serviceTag(), they may not.
    void setAvailability(bool ready, std::vector<std::uint32_t> unavailableServices);
    // Announces that this entry is leaving.
    void leave();

    const MemberRecord& self() const { return m_options.self; }
    // This entry, then the other members that have not failed, by peer address.
    std::vector<MemberView> live() const;
    // Every entry that may be running: live members, failed ones within failedRetention, and those that the platform lists.
    std::vector<MemberRecord> known() const;

private:
    struct Member {
        MemberRecord record;
        std::uint64_t headRevision = 0;
        Common::TimePoint changed; // last change of state
        int transmissions = 0; // left for the record
        bool probed = false; // in the present round over all members
    };

    struct Probe {
        std::string target;
        std::uint64_t sequence = 0;
        Common::TimePoint started;
        int pings = 0;
    };

    struct IndirectPing {
        std::string origin;
        std::string target;
        std::uint64_t sequence = 0; // the origin's
        Common::TimePoint started;
    };

    using Members = std::map<std::string, Member, std::less<>>;

    Common::TimePoint now() const { return m_options.hooks.now(); }
    int transmissionLimit() const;
    Common::Duration suspicionLimit() const;
    void handleSender(const GossipMessage&, GossipActions&);
    void handleRecord(const MemberRecord&, bool direct, GossipActions&);
    void handleRecordOfSelf(const MemberRecord&);
    void replaceRecord(Member&, const MemberRecord&, GossipActions&);
    void suspect(Member&, GossipActions&);
    void handleAck(const GossipMessage&, GossipActions&);
    void replyTo(const GossipMessage&, GossipActions&);
    void raiseIncarnation(std::uint64_t above);
    void handleTickGap();
    void continueProbe(GossipActions&);
    void startProbe(GossipActions&);
    void expire(GossipActions&);
    void pingUnreached(GossipActions&);
    void sendSyncBatch(GossipActions&);
    void pushUpdates(GossipActions&);
    void schedulePush() { m_pushRounds = m_options.pushRounds; }
    std::vector<std::string> chooseLive(int count, const std::string& except) const;
    std::vector<std::string> unreachedAddresses() const;
    GossipMessage compose(GossipKind, std::uint64_t sequence, const std::string& to);
    void addUpdates(GossipMessage&, const std::string& to);
    void ping(const std::string& to, std::uint64_t sequence, GossipActions&);

    MembershipOptions m_options;
    Members m_members; // without this entry; by peer address
    std::map<std::string, ListedEntry, std::less<>> m_listed; // by peer address
    HintBroadcastQueue m_hintQueue;
    std::optional<Probe> m_probe;
    std::map<std::uint64_t, IndirectPing> m_indirectPings; // by the sequence of the ping sent for the origin
    std::uint64_t m_head = 0;
    std::uint64_t m_sequence = 0;
    int m_pushRounds = 0; // left
    double m_pushAllowance = 0; // bytes
    std::string m_syncCursor; // last member sent in a batch
    Common::TimePoint m_lastTick;
    Common::TimePoint m_nextProbe;
    Common::TimePoint m_nextUnreachedPing;
    Common::TimePoint m_nextSync;
};

}
