#pragma once

#include <optional>

#include "Common/Clock.h"
#include "Decisions/ServerState.h"
#include "Records/ServiceRecord.h"

namespace Decisions {

// What a probe of a server would tell.
enum class ProbeReason {
    Idle, // no traffic tells of it
    Starting, // new, or back from ejection
    Ejected, // whether it may come back
    Suspect, // failures, or open requests older than usual
    Draining, // whether a new process answers
};

ProbeReason probeReason(const ServerState&, Common::TimePoint now, double usualMs);

// How old the news of such a server may grow before a probe is worth its cost.
Common::Duration probeAfter(ProbeReason, Records::Goal);

// How overdue a probe of this server is: 1 and above is due, nothing when it must not be probed now.
std::optional<double> probeUrgency(const ServerState&, Records::Goal, Common::TimePoint now, double usualMs);

}
