#pragma once

#include <span>
#include <string>
#include <string_view>

namespace Fuzz {

// One place where bytes from outside come in. run() feeds it one input and ends the program where an invariant breaks.
struct Target {
    std::string_view name; // also the folder of its corpus
    void (*run)(const std::string& input);
};

std::span<const Target> targets();

void runCaller(const std::string& input);
void runRecord(const std::string& input);
void runSettings(const std::string& input);

// Ends the program with a message unless the condition holds, so that the fuzzer keeps the input.
void require(bool condition, const char* what);

}
