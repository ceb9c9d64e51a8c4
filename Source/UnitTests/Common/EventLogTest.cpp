#include "Common/EventLog.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using Common::EventId;
using Common::HybridClock;

TEST_CASE("HybridClock: a timestamp taken after a merge is greater than the sender's, even if wall clocks differ or go backwards")
{
    auto held = rc::check([] {
        std::int64_t walls[] = { 1'000'000, 1'000'000 };
        HybridClock clocks[] = { HybridClock([&] { return walls[0]; }), HybridClock([&] { return walls[1]; }) };
        std::uint64_t last = 0;
        for (int step = 0; step < 50; ++step) {
            auto index = *rc::gen::inRange(0, 2);
            walls[index] += *rc::gen::inRange(-500, 500);
            clocks[index].merge(last);
            auto timestamp = clocks[index].tick();
            RC_ASSERT(timestamp > last);
            last = timestamp;
        }
    });
    CHECK(held);
}

TEST_CASE("HybridClock: a timestamp more than maxAheadMs ahead is ignored")
{
    HybridClock clock([] { return 1'000; });
    clock.merge(HybridClock::fromMs(1'000 + HybridClock::maxAheadMs + 1));
    CHECK(HybridClock::toMs(clock.tick()) == 1'000);
}

TEST_CASE("EventLog: per-request events do not evict control events, and since() returns both in order")
{
    Common::EventLog log({ .process = "p", .format = Common::LogFormat::Off, .ringSize = 4, .traceRingSize = 4 });
    log.log(EventId::EntryStarted, {});
    for (int i = 0; i < 100; ++i)
        log.trace(EventId::CallAttempt, {});
    log.log(EventId::EntryLeaving, {});
    auto events = log.since(0);
    REQUIRE(events.size() == 6);
    CHECK(events.front().id == EventId::EntryStarted);
    CHECK(events.back().id == EventId::EntryLeaving);
    for (std::size_t i = 1; i < events.size(); ++i) {
        CHECK(events[i].sequence > events[i - 1].sequence);
        CHECK(events[i].clock > events[i - 1].clock);
    }
    CHECK(log.since(0, 2).size() == 2);
    CHECK(log.since(events.back().sequence).empty());
}
