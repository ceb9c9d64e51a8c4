#pragma once

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
    // Takes a relay's list; its members are kept for `hold` from now on when this entry becomes a relay itself.
    void replace(const std::vector<Member>&, std::uint64_t revision, Common::TimePoint now);

    // This one first.
    std::vector<Member> all() const;
    std::size_t size() const { return m_others.size() + 1; }
    // Grows with each change.
    std::uint64_t revision() const { return m_revision; }

    // Addresses for a caller in a failure domain: serving entries of its own domain, or of all where those are few.
    std::vector<std::string> addressesFor(const std::string& failureDomain, std::size_t limit, const Common::Hooks&) const;

private:
    struct Other {
        Member member;
        Common::TimePoint keepUntil;
    };

    Member m_self;
    std::map<std::string, Other> m_others;
    std::uint64_t m_revision = 1;
};

}
