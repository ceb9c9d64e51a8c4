#pragma once

#include <span>
#include <string>
#include <string_view>

namespace Fuzz {

// A parser of untrusted input under fuzzing. run() processes one input and aborts if an invariant is violated.
struct Target {
    std::string_view name; // also the name of its corpus folder
    void (*run)(const std::string& input);
};

std::span<const Target> targets();

void runCaller(const std::string& input);
void runHttp(const std::string& input);
void runRecord(const std::string& input);
void runRows(const std::string& input);
void runSettings(const std::string& input);

// Prints `what` and aborts unless the condition holds, so that the fuzzer saves the input.
void require(bool condition, const char* what);

}
