#pragma once

#include <functional>
#include <string>

#include "Gateway/Configuration.h"

namespace Operator {

struct CheckConfigArguments {
    std::string file; // the configuration, as the operators write it
    std::string inForce; // the one that gateways have; empty: there is none to compare with
    std::string settings; // of a gateway; empty: the defaults
    bool json = false;
};

struct CheckConfigContext {
    // A gateway's code that reads a configuration; the seed is that of the API keys' digests.
    std::function<Gateway::ConfigurationReading(const std::string& text, std::uint64_t seed)> read;
    Gateway::ConfigurationNames names;
    std::uint64_t seed = 0; // random
    std::function<void(const std::string& text)> out;
};

// `cowslipledge check-config FILE`: reports errors, warnings and differences. Returns the exit code: 0 without errors, else 2.
// A file that can't be used ends the check of what depends on it.
int checkConfigCommand(const CheckConfigArguments&, const CheckConfigContext&);

}
