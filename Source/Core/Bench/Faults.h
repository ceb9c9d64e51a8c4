#pragma once

#include <array>
#include <vector>

#include "Common/Clock.h"
#include "Common/NameTable.h"

namespace Bench {

// Everything that can be done to a stand-in or an entry while a scenario runs.
enum class FaultKind {
    // Backend servers.
    Slow, // work takes `factor` times as long
    ColdStart, // work takes `factor` times as long at first, falling to normal over the fault's length
    ShedWithProof, // a `share` of requests is refused, and said not to have run
    ShedWithoutProof, // a `share` is refused with a bare 503; half of these ran
    DrainWithWarning, // the instance list and every answer say so; still serves
    DrainWithoutWarning, // refuses work and connections at once; only the refusals say so
    LyingReports, // load reports say idle
    FrozenReports, // load reports stay as they were
    Crash, // connections reset, work lost, port closed; comes back cold after the fault's length
    ResetAnswers, // a `share` of answers is reset half-way
    CutAnswers, // a `share` of answers ends short of its Content-Length
    CutChunkedAnswers, // a `share` of answers ends before the last chunk
    LateAnswers, // a `share` of answers comes `delay` late
    SilentConnections, // connections open at this moment never answer again; new ones work
    SlowAccept, // new connections are served only after `delay`
    // The platform.
    StoreDown,
    StoreSlow, // every answer takes `delay`
    LostWrites, // a `share` of writes is not applied, and the connection ends
    LostWriteAnswers, // a `share` of writes is applied, and the connection ends
    InstancesLag, // the instance list is `delay` old
    // Entries.
    EntryRestart, // graceful shutdown of the entries one after another, each followed by a new one
    EntryPause, // what the platform answers an entry is held back until the fault ends
    EntryKill, // the entries end abruptly; new ones start after the fault's length
    // Operators.
    RecordChange, // a change of the records of all services
};

inline constexpr std::array faultNames {
    Common::EnumName<FaultKind> { FaultKind::Slow, "slow" },
    Common::EnumName<FaultKind> { FaultKind::ColdStart, "cold-start" },
    Common::EnumName<FaultKind> { FaultKind::ShedWithProof, "shed-with-proof" },
    Common::EnumName<FaultKind> { FaultKind::ShedWithoutProof, "shed-without-proof" },
    Common::EnumName<FaultKind> { FaultKind::DrainWithWarning, "drain-with-warning" },
    Common::EnumName<FaultKind> { FaultKind::DrainWithoutWarning, "drain-without-warning" },
    Common::EnumName<FaultKind> { FaultKind::LyingReports, "lying-reports" },
    Common::EnumName<FaultKind> { FaultKind::FrozenReports, "frozen-reports" },
    Common::EnumName<FaultKind> { FaultKind::Crash, "crash" },
    Common::EnumName<FaultKind> { FaultKind::ResetAnswers, "reset-answers" },
    Common::EnumName<FaultKind> { FaultKind::CutAnswers, "cut-answers" },
    Common::EnumName<FaultKind> { FaultKind::CutChunkedAnswers, "cut-chunked-answers" },
    Common::EnumName<FaultKind> { FaultKind::LateAnswers, "late-answers" },
    Common::EnumName<FaultKind> { FaultKind::SilentConnections, "silent-connections" },
    Common::EnumName<FaultKind> { FaultKind::SlowAccept, "slow-accept" },
    Common::EnumName<FaultKind> { FaultKind::StoreDown, "store-down" },
    Common::EnumName<FaultKind> { FaultKind::StoreSlow, "store-slow" },
    Common::EnumName<FaultKind> { FaultKind::LostWrites, "lost-writes" },
    Common::EnumName<FaultKind> { FaultKind::LostWriteAnswers, "lost-write-answers" },
    Common::EnumName<FaultKind> { FaultKind::InstancesLag, "instances-lag" },
    Common::EnumName<FaultKind> { FaultKind::EntryRestart, "entry-restart" },
    Common::EnumName<FaultKind> { FaultKind::EntryPause, "entry-pause" },
    Common::EnumName<FaultKind> { FaultKind::EntryKill, "entry-kill" },
    Common::EnumName<FaultKind> { FaultKind::RecordChange, "record-change" },
};

// One fault of a schedule.
struct Fault {
    FaultKind kind = FaultKind::Slow;
    Common::Duration at {}; // from the start of the load
    Common::Duration length {}; // zero: to the end
    std::vector<int> targets {}; // backend servers or entries, by number; empty: all
    double factor = 1;
    double share = 1; // of requests, answers or writes hit
    Common::Duration delay {};
    std::vector<int> schemas {}; // RecordChange: forms written, by schema; empty: schema 1
};

// Whether the fault is one of a backend server.
constexpr bool isServerFault(FaultKind kind)
{
    return kind <= FaultKind::SlowAccept;
}

constexpr bool isPlatformFault(FaultKind kind)
{
    return kind > FaultKind::SlowAccept && kind <= FaultKind::InstancesLag;
}

}
