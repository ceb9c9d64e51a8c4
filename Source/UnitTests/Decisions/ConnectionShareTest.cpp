#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "Decisions/ConnectionShare.h"

using Decisions::CarrierShare;
using Decisions::connectionLimit;

TEST_CASE("an entry's share of a server's connections")
{
    struct Row {
        int total;
        CarrierShare share;
        int limit;
    };
    const Row rows[] = {
        { 300, {}, 270 },
        { 300, { .carriers = 8, .maxRecentCarriers = 8, .liveEntries = 22 }, 33 },
        { 300, { .carriers = 4, .maxRecentCarriers = 8, .liveEntries = 12 }, 33 },
        { 300, { .carries = false, .carriers = 8, .maxRecentCarriers = 8, .liveEntries = 22 }, 1 },
        { 300, { .carriers = 1, .maxRecentCarriers = CarrierShare::noBudgetShare, .liveEntries = 1 }, 1 },
        { 1, {}, 1 },
        { 5, { .carriers = 8, .maxRecentCarriers = 8, .liveEntries = 22 }, 0 },
    };
    for (const auto& row : rows) {
        CAPTURE(row.total);
        CAPTURE(row.share.maxRecentCarriers);
        CHECK(connectionLimit(row.total, row.share) == row.limit);
    }
}

TEST_CASE("all entries together stay within a server's connection limit while their counts of carriers differ")
{
    CHECK(rc::check([] {
        auto total = *rc::gen::inRange(1, 1000);
        auto entries = *rc::gen::inRange(1, 30);
        auto carriers = *rc::gen::inRange(1, entries + 1);
        int sum = 0;
        for (int i = 0; i < entries; ++i) {
            // Each entry sees some of the carriers now, and has recently seen all of them.
            auto seen = *rc::gen::inRange(1, carriers + 1);
            sum += connectionLimit(total, { .carries = i < carriers, .carriers = seen, .maxRecentCarriers = carriers, .liveEntries = entries });
        }
        RC_ASSERT(sum <= total);
    }));
}
