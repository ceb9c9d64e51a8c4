#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Operator/PeerFinder.h"
#include "Peers/TimelineEvent.h"

namespace Operator {

struct TimelineOptions {
    PeerFinderOptions peers {};
    std::string since {}; // "30s", "10m", "2h", or milliseconds since the epoch; empty: all
    std::string request {};
    std::string service {};
    bool json = false;
};

// `cowslipledge timeline`: prints the events of all entries in causal order and names the entries that did not answer.
// Exit codes: 0 all answered, 1 usage, 2 key file, 5 at least one entry did not answer.
int timelineCommand(const TimelineOptions&);

// Start of the time asked for, in ms since the epoch; nothing where the text is no time.
std::optional<std::int64_t> parseSince(const std::string& text, std::int64_t nowMs);
// One line for people.
std::string describeEvent(const Peers::TimelineEvent&);

}
