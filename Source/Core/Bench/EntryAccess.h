#pragma once

#include "Entry/Daemon.h"

namespace Bench {

// What the bench reads of an entry in its own process, where the entry offers it.

template <typename Daemon>
void killEntry(Daemon& daemon)
{
    if constexpr (requires { daemon.kill(); })
        daemon.kill();
    else
        daemon.stop();
}

// 0: not offered.
template <typename Daemon>
std::uint64_t revisionOf(const Daemon& daemon)
{
    if constexpr (requires { daemon.records(); })
        return daemon.records().current()->revision;
    else
        return 0;
}

// 0: not measured.
template <typename Context>
double ownCpuP99Ms(const Context& callers)
{
    if constexpr (requires { callers.ownCpuTimes; })
        return callers.ownCpuTimes.quantiles().p99Ms;
    else
        return 0;
}

// Empty: not offered.
template <typename Daemon>
std::string peerAddressOf(const Daemon& daemon)
{
    if constexpr (requires { daemon.peerAddress(); })
        return daemon.peerAddress();
    else
        return {};
}

}
