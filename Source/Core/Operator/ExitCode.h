#pragma once

namespace Operator {

// Exit codes of all commands; docs/OPERATORS.md lists them.
enum class ExitCode : int {
    Ok = 0,
    UsageError = 1,
    InvalidFile = 2,
    Conflict = 3, // another operator was first, or the record does not exist
    Unsettled = 4, // it could not be learned whether a write took effect
    Unreachable = 5, // the platform or an entry did not answer
    NotInForce = 6, // `wait`: not in force everywhere in time
    Failed = 7, // the daemon could not start or was stopped by force
};

constexpr int toInt(ExitCode code)
{
    return static_cast<int>(code);
}

}
