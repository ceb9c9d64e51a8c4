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
    std::string name;
    ServerSignal better;
    ServerSignal worse;
};

const Case cases[] = {
    { "free slots preferred to a full server", { .running = 1, .slots = 4 }, { .running = 4, .slots = 4 } },
    { "short queue preferred to a long one", { .running = 4, .waiting = 1, .slots = 4 }, { .running = 4, .waiting = 4, .slots = 4 } },
    { "below the knee preferred to beyond it", { .running = 2, .slots = 4 }, { .running = 3, .slots = 4 } },
    { "usual speed preferred to a noisy neighbour", { .slots = 4 }, { .slots = 4, .workFactor = 4 } },
    { "noisy neighbour preferred to a queue that takes longer", { .slots = 4, .workFactor = 4 }, { .running = 4, .waiting = 5, .slots = 4 } },
    { "queue preferred to a noisy neighbour that takes longer", { .running = 4, .waiting = 4, .slots = 4 }, { .slots = 4, .workFactor = 4 } },
    { "a busy slot preferred to a noisy neighbour", { .running = 1, .slots = 2 }, { .slots = 2, .workFactor = 4 } },
    { "requests sent since the last report count", { .slots = 4 }, { .slots = 4, .unreported = 4 } },
    { "server with slow responses avoided", { .slots = 4 }, { .slots = 4, .slowness = 3 } },
    { "failing server avoided", { .running = 3, .slots = 4 }, { .slots = 4, .failureShare = 0.5 } },
    { "warm server preferred to a cold one", { .slots = 4 }, { .slots = 4, .cold = true } },
    { "own failure domain preferred between equal servers", { .slots = 4 }, { .slots = 4, .sameDomain = false } },
    { "another failure domain preferred to a full server", { .slots = 4, .sameDomain = false }, { .running = 4, .slots = 4 } },
    { "full healthy server preferred to an unhealthy one", { .running = 4, .slots = 4 }, { .slots = 4, .healthy = false } },
};

struct CapacityCase {
    std::string name;
    ServerSignal signal;
    int priority;
    bool hasCapacity;
};

const CapacityCase capacityCases[] = {
    { "below the knee", { .running = 2, .slots = 4 }, 2, true },
    { "beyond the knee", { .running = 3, .slots = 4 }, 2, false },
    { "beyond the knee, six slots", { .running = 4, .slots = 6 }, 1, false },
    { "below the knee, six slots", { .running = 3, .slots = 6 }, 1, true },
    { "priority 0 may use all slots", { .running = 3, .slots = 4 }, 0, true },
    { "priority 0 may not queue", { .running = 4, .slots = 4 }, 0, false },
    { "a single slot may be used at any priority", { .slots = 1 }, 2, true },
    { "two slots get more done than one, also slowed down", { .running = 1, .slots = 2 }, 2, true },
    { "both of two slots in use", { .running = 2, .slots = 2 }, 2, false },
    { "two of three slots get more done than all", { .running = 2, .slots = 3 }, 2, false },
};

}

TEST_CASE("bestServer() chooses the server with the lower placement cost")
{
    for (const auto& row : cases) {
        CAPTURE(row.name);
        CHECK(Decisions::bestServer(std::vector { row.better, row.worse }, workMs, options) == 0);
        CHECK(Decisions::bestServer(std::vector { row.worse, row.better }, workMs, options) == 1);
    }
}

TEST_CASE("capacity of a server by priority")
{
    for (const auto& row : capacityCases) {
        CAPTURE(row.name);
        CHECK(Decisions::hasCapacity(row.signal, row.priority, options) == row.hasCapacity);
    }
}

TEST_CASE("the expected response time includes no placement costs")
{
    ServerSignal signal { .slots = 4, .failureShare = 1, .sameDomain = false, .healthy = false };
    CHECK(Decisions::expectedResponseMs(signal, workMs, options) == doctest::Approx(workMs));
    CHECK(Decisions::placementCostMs(signal, workMs, options) > workMs + options.failureCostMs);
}

TEST_CASE("A server without an open connection ranks behind others for a while, longer the more gateways there are")
{
    struct Row {
        std::string name;
        Common::Duration sinceContact;
        int gatewayCount;
        double minMs;
        double maxMs;
    };
    using std::chrono::seconds;
    const Row rows[] = {
        { "just used", seconds(0), 5, 60, 60 },
        { "connection just closed by its idle timeout", seconds(4), 22, 40, 50 },
        { "five gateways, unused for ten seconds", seconds(10), 5, 0, 1.5 },
        { "hundreds of gateways, unused for a minute", seconds(60), 475, 45, 50 },
        { "a gateway alone", seconds(4), 1, 0, 0.1 },
        { "the number of gateways is not known yet", seconds(4), 0, 0, 0.1 },
    };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        auto ms = Decisions::newConnectionCostMs(row.sinceContact, row.gatewayCount);
        CHECK(ms >= row.minMs);
        CHECK(ms <= row.maxMs);
    }
}
