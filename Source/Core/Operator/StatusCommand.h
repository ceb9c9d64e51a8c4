#pragma once

#include "Operator/PeerFinder.h"

namespace Operator {

struct StatusOptions {
    PeerFinderOptions peers {};
    bool json = false;
};

// `cowslipledge status`: entries, services, backend servers and probe spending as the entries see them, and the entries that
// did not answer. Exit codes: 0 all answered, 2 key file, 5 at least one entry did not answer.
int statusCommand(const StatusOptions&);

// Tables for people.
std::string describeStatus(const PeerAnswers&);

}
