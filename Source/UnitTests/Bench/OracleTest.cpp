#include <doctest/doctest.h>

#include "Bench/Oracle.h"

namespace {

using namespace Bench;
using std::chrono::milliseconds;

}

TEST_CASE("the oracle queues in order and takes the fastest free slot")
{
    const struct {
        const char* name;
        std::vector<OracleServer> servers;
        std::vector<int> expectedMs; // of three calls of 10 ms at 0, 1 and 2 ms
    } cases[] {
        { "one slot", { { .slots = 1, .speed = 1, .faults = {} } }, { 10, 19, 28 } },
        { "enough slots", { { .slots = 3, .speed = 1, .faults = {} } }, { 10, 10, 10 } },
        { "a fast server first", { { .slots = 1, .speed = 1, .faults = {} }, { .slots = 1, .speed = 2, .faults = {} } }, { 5, 10, 8 } },
        { "a slow server last", { { .slots = 3, .speed = 1, .faults = { { .kind = FaultKind::Slow, .factor = 5 } } }, { .slots = 1, .speed = 1, .faults = {} } }, { 10, 50, 50 } },
        { "a server that is down", { { .slots = 3, .speed = 1, .faults = { { .kind = FaultKind::Crash } } }, { .slots = 1, .speed = 1, .faults = {} } }, { 10, 19, 28 } },
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        std::vector<OracleCall> calls;
        for (int i = 0; i < 3; ++i)
            calls.push_back({ .at = milliseconds(i), .work = milliseconds(10) });
        auto latencies = oracleLatencies(test.servers, calls);
        for (std::size_t i = 0; i < calls.size(); ++i)
            CHECK(latencies[i] == milliseconds(test.expectedMs[i]));
    }
}
