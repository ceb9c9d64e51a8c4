#pragma once

#include <string>

namespace Operator {

// `cowslipledge check FILE`: validates a settings file (it has an [entry] table) or a record file, prints every error
// to standard error and returns the exit code: 0 valid, 2 invalid.
int checkCommand(const std::string& path);

}
