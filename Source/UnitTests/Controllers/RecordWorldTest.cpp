#include <algorithm>
#include <map>
#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "Fakes/RecordWorld.h"

namespace {

using Fakes::RecordWorld;
using Records::WriteState;

// What each entry held at the last look, since it started.
struct Seen {
    int started = 0;
    std::uint64_t revision = 0;
    std::map<std::string, std::uint64_t> records;
};

void checkForwardOnly(const RecordWorld& world, std::vector<Seen>& seen)
{
    for (std::size_t i = 0; i < world.entries.size(); ++i) {
        const auto& entry = world.entries[i];
        auto& before = seen[i];
        if (before.started != entry.started)
            before = { .started = entry.started, .records = {} };
        auto revision = entry.records->current()->revision;
        RC_ASSERT(revision >= before.revision);
        if (revision == before.revision)
            continue;
        before.revision = revision;
        for (const auto& record : entry.records->image().records) {
            RC_ASSERT(record.revision >= before.records[record.service]);
            before.records[record.service] = record.revision;
        }
    }
}

void checkWrites(RecordWorld& world)
{
    auto history = Records::readHistory(world.store.table()).value();
    std::map<std::string, std::uint64_t> revisionOf;
    std::map<std::string, std::uint64_t> lastOf;
    for (std::size_t i = 0; i < history.size(); ++i) {
        const auto& change = history[i];
        RC_ASSERT(change.revision == i + 1);
        RC_ASSERT(revisionOf.emplace(change.nonce, change.revision).second); // never applied twice
        RC_ASSERT(change.previous == lastOf[change.service]);
        lastOf[change.service] = change.revision;
    }
    for (const auto& who : world.operators) {
        const auto& answer = who.write->answer();
        RC_ASSERT(who.done);
        auto it = revisionOf.find(answer.nonce);
        if (answer.state == WriteState::Applied)
            RC_ASSERT(it != revisionOf.end() && it->second == answer.revision);
        else if (answer.state != WriteState::Unsettled)
            RC_ASSERT(it == revisionOf.end());
    }
}

void checkConverged(RecordWorld& world)
{
    auto image = Records::readImage(world.store.table()).value();
    for (const auto& entry : world.entries) {
        RC_ASSERT(entry.sync->ready());
        auto held = entry.records->image();
        RC_ASSERT(held.revision == image.revision);
        RC_ASSERT(held.records == image.records);
        auto current = entry.records->current();
        auto inForce = std::count_if(image.records.begin(), image.records.end(), [](const auto& record) { return !record.retired(); });
        RC_ASSERT(static_cast<long>(current->services.size()) == inForce);
        for (const auto& record : image.records) {
            if (!record.retired())
                RC_ASSERT(record.forms[0].ends_with("slots = " + std::to_string(current->services.at(record.service)->slots) + "\n"));
        }
    }
}

// Worlds played for each of RapidCheck's 100 cases, and the half of them that a test of a large size plays.
constexpr int worldsEach = 10;
constexpr int halfOfWorlds = worldsEach / 2;

// Plays the worlds from `first` to `end` - 1 of each case.
bool holdsInWorldsOf(std::size_t entryCount, int first = 0, int end = worldsEach)
{
    return rc::check([=] {
        auto seed = *rc::gen::arbitrary<std::uint64_t>();
        for (int i = first; i < end; ++i) {
            RecordWorld world(seed + static_cast<std::uint64_t>(i), entryCount);
            std::vector<Seen> seen(entryCount);
            world.run(std::chrono::seconds(15), std::chrono::seconds(20), [&](RecordWorld& now) { checkForwardOnly(now, seen); });
            checkWrites(world);
            checkConverged(world);
        }
    });
}

}

// Store outages, lost and late answers to writes, splits, pauses, restarts and racing operators, in three sizes.
TEST_CASE("records only move forward and accepted changes reach all of 2 entries, whatever fails meanwhile")
{
    CHECK(holdsInWorldsOf(2));
}

TEST_CASE("records only move forward and accepted changes reach all of 5 entries, whatever fails meanwhile")
{
    CHECK(holdsInWorldsOf(5));
}

TEST_CASE("records only move forward and accepted changes reach all of 9 entries, whatever fails meanwhile, first half of the worlds")
{
    CHECK(holdsInWorldsOf(9, 0, halfOfWorlds));
}

TEST_CASE("records only move forward and accepted changes reach all of 9 entries, whatever fails meanwhile, second half of the worlds")
{
    CHECK(holdsInWorldsOf(9, halfOfWorlds, worldsEach));
}
