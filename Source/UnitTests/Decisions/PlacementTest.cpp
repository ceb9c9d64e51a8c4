#include "Decisions/Placement.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace {

using Decisions::PlacementOptions;
using Decisions::ServerSignal;

const PlacementOptions options;
constexpr double workMs = 100;

struct Case {
    std::string what;
    ServerSignal better;
    ServerSignal worse;
};

const Case cases[] = {
    { "free before full", { .running = 1, .slots = 4 }, { .running = 4, .slots = 4 } },
    { "short queue before long", { .running = 4, .waiting = 1, .slots = 4 }, { .running = 4, .waiting = 4, .slots = 4 } },
    { "below the knee before beyond", { .running = 2, .slots = 4 }, { .running = 3, .slots = 4 } },
    { "usual before noisy", { .slots = 4 }, { .slots = 4, .workFactor = 4 } },
    { "noisy before a long queue: noise passes", { .slots = 4, .workFactor = 4 }, { .running = 4, .waiting = 4, .slots = 4 } },
    { "own sends count before they are reported", { .slots = 4 }, { .slots = 4, .unreported = 4 } },
    { "learned to be slow", { .slots = 4 }, { .slots = 4, .slowness = 3 } },
    { "failing", { .running = 3, .slots = 4 }, { .slots = 4, .failureShare = 0.5 } },
    { "warm before cold", { .slots = 4 }, { .slots = 4, .cold = true } },
    { "own domain where alike", { .slots = 4 }, { .slots = 4, .sameDomain = false } },
    { "another domain before a full server", { .slots = 4, .sameDomain = false }, { .running = 4, .slots = 4 } },
    { "well before ill", { .running = 4, .slots = 4 }, { .slots = 4, .healthy = false } },
};

struct RoomCase {
    std::string what;
    ServerSignal signal;
    int priority;
    bool room;
};

const RoomCase roomCases[] = {
    { "below the knee", { .running = 2, .slots = 4 }, 2, true },
    { "at the knee", { .running = 3, .slots = 4 }, 2, false },
    { "at the knee, six slots", { .running = 4, .slots = 6 }, 1, false },
    { "below it, six slots", { .running = 3, .slots = 6 }, 1, true },
    { "the most urgent fill all slots", { .running = 3, .slots = 4 }, 0, true },
    { "but do not queue", { .running = 4, .slots = 4 }, 0, false },
    { "one slot is always usable", { .slots = 1 }, 2, true },
};

}

TEST_CASE("The better of two servers is chosen")
{
    for (const auto& row : cases) {
        CAPTURE(row.what);
        CHECK(Decisions::bestServer(std::vector { row.better, row.worse }, workMs, options) == 0);
        CHECK(Decisions::bestServer(std::vector { row.worse, row.better }, workMs, options) == 1);
    }
}

TEST_CASE("Room at a server by priority")
{
    for (const auto& row : roomCases) {
        CAPTURE(row.what);
        CHECK(Decisions::hasRoom(row.signal, row.priority, options) == row.room);
    }
}

TEST_CASE("The expected wait has no prices in it")
{
    ServerSignal signal { .slots = 4, .failureShare = 1, .sameDomain = false, .healthy = false };
    CHECK(Decisions::expectedWaitMs(signal, workMs, options) == doctest::Approx(workMs));
    CHECK(Decisions::expectedMs(signal, workMs, options) > workMs + options.failureMs);
}
