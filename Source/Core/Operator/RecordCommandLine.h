#pragma once

#include <optional>
#include <string>
#include <vector>

namespace Operator {

// The command line of `cowslipledge record`, as read from the usage text.
struct RecordArguments {
    std::string verb; // put, replace, retire, get, list, history, wait
    std::vector<std::string> files;
    std::string service;
    std::string platform; // ip:port
    std::string revision; // of wait
    std::string expect;
    std::string timeoutMs;
    std::string operatorName; // empty: the USER of the environment
    bool dryRun = false;
    bool json = false;
};

// Runs one record command against the platform; returns the exit code.
int recordCommand(const RecordArguments&);

}
