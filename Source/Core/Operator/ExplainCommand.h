#pragma once

#include <istream>
#include <string>

namespace Operator {

// What the logs of any number of processes say of one request, in the order of time: its own lines, and what was found out
// about the servers they name in the seconds before. `logs` holds lines of JSON; other text before or between them is skipped.
// Empty where no line names the request.
std::string explainRequest(const std::string& id, std::istream& logs);

// `cowslipledge explain ID`: reads standard input. Returns the exit code.
int explainCommand(const std::string& id);

}
