#pragma once

#include <istream>
#include <string>
#include <vector>

namespace Traces {

struct ReplayResult {
    int operations = 0;
    std::vector<std::string> failures; // "line N: what differed"
};

// Runs a trace of a server pool again and compares. The lines of a trace, all JSON objects:
//   {"cause": text}                                what failed when the trace was made; any number, anywhere
//   what PoolRecorder writes                       done again with the same draws; another choice is a failure
//   {"expect":"view","server":A,"ejected":B,"leaving":B,"takes_work":B}    the server's state here; each key optional
//   {"expect":"choices","server":A,"most":N}       choices of it so far, or since the last such line for the server
ReplayResult replayPool(std::istream&);

}
