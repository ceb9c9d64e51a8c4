#include <doctest/doctest.h>

#include "Bench/PlatformStandIn.h"
#include "Platform/HttpPlatform.h"

namespace {

using namespace Bench;

const Platform::Transaction firstWrite { .conditions = { { "key", 0 } }, .writes = { { "key", "value" } } };

}

TEST_CASE("faults of the platform stand-in on a write")
{
    const struct {
        const char* name;
        std::optional<FaultKind> fault;
        bool answered;
        bool applied;
    } cases[] {
        { "none", std::nullopt, true, true },
        { "down", FaultKind::StoreDown, false, false },
        { "not applied, no answer", FaultKind::LostWrites, false, false },
        { "applied, no answer", FaultKind::LostWriteAnswers, false, true },
        { "slow", FaultKind::StoreSlow, true, true },
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        PlatformStandIn platform;
        auto services = Platform::httpPlatform({ .address = platform.address() });
        if (test.fault)
            platform.begin({ .kind = *test.fault, .delay = std::chrono::milliseconds(2) });
        CHECK(services.table.commit(firstWrite).has_value() == test.answered);
        CHECK(platform.row("key").has_value() == test.applied);
        if (test.fault)
            platform.end(*test.fault);
        CHECK(services.table.get("key").has_value());
    }
}

TEST_CASE("the platform stand-in refuses what is above its rate and counts reads")
{
    PlatformStandIn platform({ .readsPerSecond = 3, .writesPerSecond = 1 });
    auto services = Platform::httpPlatform({ .address = platform.address() });
    CHECK(services.table.commit(firstWrite).has_value());
    int served = 0;
    constexpr int reads = 20;
    for (int i = 0; i < reads; ++i)
        served += services.table.get("key").has_value() ? 1 : 0;
    CHECK(served < reads);
    CHECK(platform.counts().reads == reads);
    CHECK(platform.counts().refused == static_cast<std::uint64_t>(reads - served));
}

TEST_CASE("the instance list lags")
{
    PlatformStandIn platform({ .instancesLag = std::chrono::hours(1) });
    auto services = Platform::httpPlatform({ .address = platform.address() });
    platform.setInstances({ { .address = "127.0.0.1:1", .pool = "a", .failureDomain = "a", .leaving = false, .peerAddress = {} } });
    platform.setInstances({ { .address = "127.0.0.1:1", .pool = "a", .failureDomain = "a", .leaving = true, .peerAddress = {} } });
    CHECK(!services.instances().value().front().leaving);
    platform.begin({ .kind = FaultKind::InstancesLag });
    CHECK(services.instances().value().front().leaving);
}
