#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"

namespace Gateway {

// One gateway process as the others see it.
struct Member {
    std::string control; // address (ip:port) for other gateways; identifies the member
    std::string callers; // address (ip:port) for callers
    std::string failureDomain;
    std::int64_t startedMs = 0; // Unix time at which the process started
    double capacity = 1; // processor share
    bool serving = false; // ready and not leaving
    std::string forwarding = {}; // address (ip:port) for requests that other gateways forward; empty: it takes none

    bool operator==(const Member&) const = default;
};

// Changes of a member list since a revision, or the full list.
struct MemberUpdate {
    bool isFull = false; // members not in it do not exist
    std::uint64_t revision = 0; // of the sender's list
    std::int64_t startedMs = 0; // start of the sender's process, from which revisions count; 0: not told
    int total = 0; // members known to the sender, in all failure domains
    std::vector<Member> members; // new or changed
    std::vector<std::string> departed; // control addresses
    // A few members of other failure domains, of which a filtered list has none, that take forwarded requests; nullopt if unchanged.
    std::optional<std::vector<Member>> remoteTargets = {};
};

// The gateways known to be alive: those that made contact with this one lately, and those in the list of the relay that it follows.
class Members {
public:
    explicit Members(Member self);

    const Member& self() const { return m_self; }
    void setServing(bool);
    void setForwarding(const std::string& address);

    // Records a request from a member; returns whether the list changed.
    bool recordContact(const Member&, Common::TimePoint now);
    // The member's connection ended: it expires unless it makes contact again by `until`.
    void suspect(const std::string& control, Common::TimePoint until);
    // For gateways that answer followers: drops members without contact within their timeout; those of the list of a relay that is
    // followed, or was until lately, stay. Returns whether the list changed.
    bool expire(Common::TimePoint now);
    // Applies an update of the relay that is followed. Members that are not in its list stay until their last contact with this
    // gateway is too long ago.
    void apply(const MemberUpdate&, Common::TimePoint now);
    // The update for a member that holds `revision` of this list (0: none). In large lists it covers only the member's own
    // failure domain.
    MemberUpdate changesSince(std::uint64_t revision, const std::string& failureDomain) const;
    // Whether changesSince() would contain any change.
    bool hasChanged(std::uint64_t revision, const std::string& failureDomain) const;

    // Time since the last update of the relay that is followed; nullopt before the first.
    std::optional<Common::Duration> listAge(Common::TimePoint now) const;
    // Control addresses of the serving gateways of the own failure domain.
    std::vector<std::string> servingInOwnDomain() const;
    // Other serving gateways that take forwarded requests: those that something has been heard of lately or, if there is none, all that are
    // known.
    std::vector<Member> forwardingTargets(Common::TimePoint now) const;
    // Another member by its control address; nullptr if it is not known.
    const Member* find(const std::string& control) const;
    // This gateway first.
    std::vector<Member> all() const;
    // Members known here or, where that is more, to the relay in all failure domains; at least 1.
    std::size_t size() const { return std::max(m_listedTotal, m_others.size() + 1); }
    // Grows with each change.
    std::uint64_t revision() const { return m_revision; }

    // Up to `limit` addresses, in random order, for a caller in a failure domain: serving gateways of its own domain, followed
    // by those of other domains if there are few. Leaves out members that nothing has been heard of lately.
    std::vector<std::string> addressesFor(const std::string& failureDomain, std::size_t limit, const Common::Hooks&) const;

private:
    struct Other {
        Member member;
        Common::TimePoint contactUntil; // end of the timeout that its last contact with this gateway started
        bool isListed = false; // in the list of the relay followed last
        std::uint64_t changedAt = 0; // revision
    };
    struct Tombstone {
        std::string failureDomain;
        std::uint64_t changedAt = 0; // revision
    };

    // Of a filtered list: the first few members of each failure domain that take forwarded requests.
    void updateRemoteTargets();
    bool isVisibleTo(const std::string& failureDomain, const std::string& ofMember) const;
    // Whether the member was heard of lately enough to name it to callers.
    bool isCurrent(const Other&, Common::TimePoint now) const;
    Other& update(const Member&);
    void drop(std::map<std::string, Other>::iterator);
    // Drops the members for which the condition holds; returns whether there was any.
    template <typename Condition>
    bool dropIf(Condition);
    void updateFilter();

    Member m_self;
    std::uint64_t m_selfChangedAt = 1; // revision
    std::map<std::string, Other> m_others; // by control address
    std::map<std::string, Tombstone> m_tombstones; // by control address
    std::uint64_t m_tombstoneFloor = 0; // tombstones up to this revision may have been discarded
    std::uint64_t m_revision = 1;
    Common::TimePoint m_listedAt; // last update of the relay that is followed
    std::size_t m_listedTotal = 0; // members known to that relay, in all failure domains
    bool m_isFiltered = false; // members are only told of those in their own failure domain
    std::uint64_t m_filterChangedAt = 0; // revision
    std::vector<Member> m_ownTargets; // that this gateway tells its followers, of all failure domains
    std::uint64_t m_ownTargetsChangedAt = 0; // revision
    std::uint64_t m_targetsCheckedAt = 0; // revision for which m_ownTargets is up to date
    std::map<std::string, Member> m_remoteTargets; // that the relay followed last has told, by control address
};

}
