#pragma once

#include <optional>

#include "Common/Clock.h"
#include "Decisions/ServerState.h"
#include "Records/ServiceRecord.h"

namespace Decisions {

// Why a server is worth probing.
enum class ProbeReason {
    Idle, // no traffic shows its state
    Starting, // new, or back from ejection
    Ejected, // it may have recovered
    Suspect, // recent failures, or an open request older than usual
    Draining, // a new process may have taken its place
};

ProbeReason probeReason(const ServerState&, Common::TimePoint now, double usualMs);

// Age of the information about a server at which a probe is due.
Common::Duration reprobeInterval(ProbeReason, Records::Goal);

// How overdue a probe of this server is, as a multiple of its interval: due from 1 on. No value when the server must not be
// probed now.
std::optional<double> probeUrgency(const ServerState&, Records::Goal, Common::TimePoint now, double usualMs);

}
