#pragma once

namespace Bench {

struct GossipBenchOptions {
    int entries = 22;
    int seconds = 10; // quiet, then as long with changes
    double loss = 0; // share of datagrams lost
    double changesPerSecond = 1;
};

// Runs entries' membership over loopback and prints one JSON line: bytes and messages a second and CPU an entry, quiet and with
// changes, and how long a change took to reach all. Returns the exit code: 0 when every change reached all.
int runGossipBench(const GossipBenchOptions&);

}
