#pragma once

#include <cstdint>

#include "Common/Clock.h"
#include "Decisions/ServerHint.h"

namespace Decisions {

// Whether one backend server is draining. Once observed, it holds until a new process answers at the address, or until the
// server reports itself live long after the last sign of draining (a cancelled drain). See docs/design/choice.md.
class DrainState {
public:
    bool draining() const { return m_draining; }
    std::uint64_t incarnation() const { return m_incarnation; }

    // The functions below that return bool return whether draining() changed. `clock` is the wall clock in ms; a change that
    // this entry itself observed takes its incarnation from it.
    bool observeDraining(Common::TimePoint now, std::uint64_t clock);
    // The server reported itself live, in the answer to a request or probe sent at `sentAt`.
    bool observeLive(Common::TimePoint sentAt, Common::TimePoint now, std::uint64_t clock);
    // The draining process has ended: connections are refused, or the instance list names a new instance.
    void observeProcessGone();
    // A hint of another entry. Ignored unless its incarnation is newer, or is the same and the kind is Draining.
    bool applyHint(HintKind, std::uint64_t incarnation, Common::TimePoint now);

private:
    void advanceIncarnation(std::uint64_t clock);

    bool m_draining = false;
    bool m_processGone = false;
    Common::TimePoint m_lastDrainingAt;
    std::uint64_t m_incarnation = 0;
};

}
