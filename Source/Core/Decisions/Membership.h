#pragma once

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "Common/Clock.h"
#include "Decisions/GossipMessage.h"
#include "Decisions/Rumours.h"

namespace Decisions {

struct MembershipOptions {
    Common::Hooks hooks;
    MemberRecord self; // incarnation: start time in ms since the epoch
    Common::Duration probeInterval = std::chrono::milliseconds(500);
    Common::Duration directTimeout = std::chrono::milliseconds(150); // until the ping is repeated, at last through others
    Common::Duration probeTimeout = std::chrono::milliseconds(800); // until the member is suspected
    Common::Duration suspicionTime = std::chrono::seconds(2); // for up to 10 members; grows with their logarithm
    Common::Duration reachInterval = std::chrono::seconds(1); // between pings to entries that are not live here
    Common::Duration syncInterval = std::chrono::seconds(4); // between batches of the member table
    Common::Duration failedRetention = std::chrono::minutes(3);
    Common::Duration hintRetention = std::chrono::minutes(2);
    int indirectProbes = 3;
    int pushFanOut = 5;
    int pushRounds = 3;
    std::size_t payloadBytes = 1000; // records and hints in one datagram
    std::size_t pushBytesPerSecond = 2500;
    std::size_t maxMembers = 1024;
    std::size_t maxHints = 2048;
};

// An entry as the platform's list names it.
struct ListedEntry {
    std::string peerAddress;
    std::string address;
    std::string failureDomain;
};

enum class MemberChange {
    Joined,
    Suspected,
    Refuted, // suspected before, alive now
    Leaving,
    Failed,
};

struct MemberEvent {
    MemberChange change = MemberChange::Joined;
    MemberRecord member;
};

struct HeadSeen {
    std::uint64_t revision = 0;
    std::string from; // peer address of an entry where it is in force
};

// What follows from one event.
struct GossipActions {
    std::vector<GossipSend> sends;
    std::vector<MemberEvent> events;
    std::vector<ServerHint> hints; // new here
    std::optional<HeadSeen> head; // newer than what is in force here
};

struct MemberView {
    MemberRecord record;
    std::uint64_t headRevision = 0; // as last heard
};

// Failure detection and dissemination between entries, after SWIM: direct and indirect pings, suspicion, incarnations and
// refutation; news rides on every message a bounded number of times and is pushed at once where it matters. Not thread-safe.
class Membership {
public:
    explicit Membership(MembershipOptions);

    GossipActions receive(const GossipMessage&);
    // To be called every 100 ms or so.
    GossipActions tick();

    // The platform's list: names entries worth pinging; what gossip knows goes first.
    void setInstances(std::span<const ListedEntry>);
    // The revision in force here; pushed to others when it grows.
    void setHead(std::uint64_t revision);
    void publishHint(const ServerHint&);
    // Whether this entry may be named to callers, and for which services it may not.
    void setOffer(bool ready, std::vector<std::uint32_t> unoffered);
    // Announces that this entry is leaving.
    void leave();

    const MemberRecord& self() const { return m_options.self; }
    // Members not failed, this entry among them, by peer address.
    std::vector<MemberView> live() const;
    // Every entry that may be running somewhere: live ones, failed ones not yet forgotten, those the platform lists.
    std::vector<MemberRecord> known() const;

private:
    struct Member {
        MemberRecord record;
        std::uint64_t headRevision = 0;
        Common::TimePoint changed; // when the state began
        int transmissions = 0; // left for this record
        bool probed = false; // in this round
    };

    struct Probe {
        std::string target;
        std::uint64_t sequence = 0;
        Common::TimePoint started;
        int pings = 0;
    };

    struct Relay {
        std::string origin;
        std::string target;
        std::uint64_t sequence = 0; // the origin's
        Common::TimePoint started;
    };

    using Members = std::map<std::string, Member, std::less<>>;

    Common::TimePoint now() const { return m_options.hooks.now(); }
    int transmissionLimit() const;
    Common::Duration suspicionLimit() const;
    void hearSender(const GossipMessage&, GossipActions&);
    void hear(const MemberRecord&, bool direct, GossipActions&);
    void hearOfSelf(const MemberRecord&);
    void accept(Member&, const MemberRecord&, GossipActions&);
    void suspect(Member&, GossipActions&);
    void acknowledged(const GossipMessage&, GossipActions&);
    void answer(const GossipMessage&, GossipActions&);
    void raiseIncarnation(std::uint64_t above);
    void skipPause();
    void continueProbe(GossipActions&);
    void startProbe(GossipActions&);
    void expire(GossipActions&);
    void reachOthers(GossipActions&);
    void sendBatch(GossipActions&);
    void pushNews(GossipActions&);
    void pushSoon() { m_pushRounds = m_options.pushRounds; }
    std::vector<std::string> chooseLive(int count, const std::string& except) const;
    std::vector<std::string> unreached() const;
    GossipMessage compose(GossipKind, std::uint64_t sequence, const std::string& to);
    void addUpdates(GossipMessage&, const std::string& to);
    void ping(const std::string& to, std::uint64_t sequence, GossipActions&);

    MembershipOptions m_options;
    Members m_members; // without this entry
    std::map<std::string, ListedEntry, std::less<>> m_listed;
    Rumours m_hints;
    std::optional<Probe> m_probe;
    std::map<std::uint64_t, Relay> m_relays;
    std::uint64_t m_head = 0;
    std::uint64_t m_sequence = 0;
    int m_pushRounds = 0;
    double m_pushAllowance = 0; // bytes
    std::string m_batchCursor;
    Common::TimePoint m_lastTick;
    Common::TimePoint m_nextProbe;
    Common::TimePoint m_nextReach;
    Common::TimePoint m_nextSync;
};

}
