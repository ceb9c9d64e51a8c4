#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"

namespace Gateway {

// One entry instance as the others see it.
struct Member {
    std::string control; // ip:port for other entries; identifies it
    std::string callers; // ip:port for callers
    std::string failureDomain;
    std::int64_t startedMs = 0; // Unix time of this process's start
    double capacity = 1; // processor share
    bool serving = false; // ready and not leaving

    bool operator==(const Member&) const = default;
};

// Changes of the list since a revision, or the whole list.
struct MemberUpdate {
    bool whole = false;
    std::uint64_t revision = 0;
    int total = 0; // entries known in all
    std::vector<Member> members; // new or changed
    std::vector<std::string> gone; // control addresses
};

// The entries known to be alive. A relay hears from all; the others take its list.
class Members {
public:
    explicit Members(Member self);

    const Member& self() const { return m_self; }
    void setServing(bool);

    // A member told of itself; returns whether the list changed.
    bool heard(const Member&, Common::TimePoint now);
    // Its connection ended: it has to be heard of again by `until`.
    void suspect(const std::string& control, Common::TimePoint until);
    // Drops those not heard of by now; returns whether the list changed.
    bool expire(Common::TimePoint now);
    // Takes a relay's news; the members are kept for a while from now on when this entry becomes a relay itself.
    void apply(const MemberUpdate&, Common::TimePoint now);
    // For a member that holds `revision` of this list (0: none): in large lists those of its own failure domain only.
    MemberUpdate changesSince(std::uint64_t revision, const std::string& failureDomain) const;
    // Whether changesSince() has anything to tell.
    bool hasChanged(std::uint64_t revision, const std::string& failureDomain) const;

    // This one first.
    std::vector<Member> all() const;
    // Known in all, here or by the relay.
    std::size_t size() const { return std::max(m_total, m_others.size() + 1); }
    // Grows with each change.
    std::uint64_t revision() const { return m_revision; }

    // Addresses for a caller in a failure domain: serving entries of its own domain, or of all where those are few.
    std::vector<std::string> addressesFor(const std::string& failureDomain, std::size_t limit, const Common::Hooks&) const;

private:
    struct Other {
        Member member;
        Common::TimePoint keepUntil;
        std::uint64_t changedAt = 0; // revision
    };
    struct Gone {
        std::string failureDomain;
        std::uint64_t changedAt = 0;
    };

    bool isFor(const std::string& failureDomain, const std::string& ofMember) const;
    void drop(std::map<std::string, Other>::iterator);

    Member m_self;
    std::uint64_t m_selfChangedAt = 1;
    std::map<std::string, Other> m_others;
    std::map<std::string, Gone> m_gone;
    std::uint64_t m_goneFloor = 0; // those gone up to here may have been forgotten
    std::uint64_t m_revision = 1;
    std::size_t m_total = 1;
};

}
