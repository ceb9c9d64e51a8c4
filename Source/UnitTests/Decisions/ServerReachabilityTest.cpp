#include "Decisions/ServerReachability.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace {

using Decisions::Reachability;
using std::chrono::milliseconds;

struct Step {
    int server = 0;
    bool answered = false;
    bool isNewConnection = false;
    int sentAtMs = 0;
    int atMs = 0;
};

struct Row {
    std::string name;
    std::size_t servers = 0;
    std::vector<Step> steps;
    int atMs = 0;
    Reachability expected = Reachability::Reachable;
};

Step failure(int server, bool isNewConnection = true)
{
    return { .server = server, .answered = false, .isNewConnection = isNewConnection, .sentAtMs = 1000, .atMs = 1250 };
}

Step answer(int server, bool isNewConnection, int atMs)
{
    return { .server = server, .answered = true, .isNewConnection = isNewConnection, .sentAtMs = atMs - 5, .atMs = atMs };
}

TEST_CASE("A service counts as unreachable only after several of its servers failed and none answered since")
{
    const std::vector<Row> rows {
        { "nothing is known", 30, {}, 1000, Reachability::Reachable },
        { "two of thirty fail", 30, { failure(1), failure(2) }, 1250, Reachability::Reachable },
        { "one server fails three times", 30, { failure(1), failure(1), failure(1) }, 1250, Reachability::Reachable },
        { "three fail, none has ever answered", 30, { failure(1), failure(2), failure(3) }, 1250, Reachability::Unreachable },
        { "three fail after the last answer", 30, { answer(4, true, 900), failure(1), failure(2), failure(3) }, 1250, Reachability::Unreachable },
        { "an answer comes while the load probes of the others wait", 30, { answer(4, true, 1005), failure(1), failure(2), failure(3) }, 1250, Reachability::Reachable },
        { "an answer comes afterwards", 30, { failure(1), failure(2), failure(3), answer(4, true, 1300) }, 1300, Reachability::Reachable },
        { "the failures are long ago", 30, { failure(1), failure(2), failure(3) }, 3300, Reachability::Reachable },
        { "both servers of a small service fail", 2, { failure(1), failure(2) }, 1250, Reachability::Unreachable },
        { "one of two fails", 2, { failure(1) }, 1250, Reachability::Reachable },
        { "a service without servers", 0, { failure(1), failure(2), failure(3) }, 1250, Reachability::Reachable },
        { "open connections answer, new ones fail", 30, { failure(1), failure(2), failure(3), answer(4, false, 1300) }, 1300, Reachability::NoNewConnections },
        { "open connections answer while new ones fail", 30, { answer(4, false, 1005), failure(1), failure(2), failure(3) }, 1250, Reachability::NoNewConnections },
        { "new connections answer, open ones are silent", 30, { answer(4, true, 1005), failure(1, false), failure(2, false), failure(3, false) }, 1250, Reachability::Reachable },
        { "new ones work again", 30, { failure(1), failure(2), failure(3), answer(4, false, 1300), answer(1, true, 1400) }, 1400, Reachability::Reachable },
    };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        Decisions::ServerReachability reachability;
        auto at = [](int ms) { return Common::TimePoint(milliseconds(ms)); };
        for (const auto& step : row.steps) {
            reachability.record({ .server = static_cast<std::uint64_t>(step.server), .answered = step.answered, .isNewConnection = step.isNewConnection, .sentAt = at(step.sentAtMs) }, at(step.atMs));
        }
        CHECK(reachability.state([&] { return row.servers; }, at(row.atMs)) == row.expected);
    }
}

}
