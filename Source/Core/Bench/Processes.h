#pragma once

#include <string>
#include <vector>

namespace Bench {

struct BackendProcessOptions {
    int servers = 1;
    int slots = 4;
    double serviceMs = 20;
};

struct LoadProcessOptions {
    std::vector<std::string> entries; // ip:port
    std::string service;
    std::string path;
    std::string method = "GET";
    double callsPerSecond = 100;
    int seconds = 5;
    unsigned long seed = 1;
};

// Each runs one part of the bench by itself and returns the exit code. The first two print their addresses, one a line, and
// stay until a signal ends them.
int runPlatformProcess();
int runBackendProcess(const BackendProcessOptions&);
// Calls entries as callers do and prints one line of JSON; there is no ledger to check against.
int runLoadProcess(const LoadProcessOptions&);

}
