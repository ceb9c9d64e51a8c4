#pragma once

#include <cstdint>

#include "Common/Clock.h"
#include "Decisions/ServerHint.h"

namespace Decisions {

// Whether one backend server is leaving. Sticky: a sign of leaving holds until a new process answers at the address, or
// the old one has said "live" for long without another sign (a drain called off). docs/design/choice.md.
class DrainState {
public:
    bool draining() const { return m_draining; }
    std::uint64_t incarnation() const { return m_incarnation; }

    // Each returns whether draining() changed. `clock` numbers the change when it is this entry's own finding.
    bool sawDraining(Common::TimePoint now, std::uint64_t clock);
    // A server said "live" in the answer to something sent at `sentAt`.
    bool sawLive(Common::TimePoint sentAt, Common::TimePoint now, std::uint64_t clock);
    // The process that was leaving is gone: refused connections, or the instance list shows a new instance.
    void sawGone();
    // Another entry's finding; only a newer one, or Draining at the same incarnation, counts.
    bool applyHint(HintKind, std::uint64_t incarnation, Common::TimePoint now);

private:
    void renumber(std::uint64_t clock);

    bool m_draining = false;
    bool m_gone = false;
    Common::TimePoint m_lastSign;
    std::uint64_t m_incarnation = 0;
};

}
