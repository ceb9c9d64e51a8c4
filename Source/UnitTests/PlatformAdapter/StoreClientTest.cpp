#include "platform/StoreClient.h"

#include <future>
#include <set>

#include <doctest/doctest.h>

#include "platform/StandIn/LoopThread.h"
#include "platform/StandIn/Store.h"

namespace {

using Platform::CommitState;
using Platform::ReadState;
using PlatformStandIn::Store;
using PlatformStandIn::StoreMode;

struct World {
    PlatformStandIn::LoopThread thread;
    std::unique_ptr<Store> store;
    Platform::AsyncTable table;

    World()
    {
        thread.call([&] {
            store = std::make_unique<Store>(thread.loop());
            table = PlatformAdapter::openStore(thread.loop(), store->address());
        });
    }
    ~World()
    {
        thread.call([&] {
            table = {};
            store.reset();
        });
    }
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    Platform::RowsRead readAll(const std::string& name)
    {
        std::promise<Platform::RowsRead> done;
        thread.call([&] { table.readAll(name, [&](Platform::RowsRead read) { done.set_value(std::move(read)); }); });
        return done.get_future().get();
    }
    Platform::RowsRead readChanges(const std::string& name, std::uint64_t after, int waitMs)
    {
        std::promise<Platform::RowsRead> done;
        thread.call([&] { table.readChanges(name, after, std::chrono::milliseconds(waitMs), [&](Platform::RowsRead read) { done.set_value(std::move(read)); }); });
        return done.get_future().get();
    }
    Platform::CommitResult write(const std::string& key, const std::string& value, std::uint64_t expected)
    {
        std::promise<Platform::CommitResult> done;
        thread.call([&] { table.write({ .row = { .table = "t", .key = key, .value = value, .version = 0 }, .expected = expected }, [&](Platform::CommitResult result) { done.set_value(std::move(result)); }); });
        return done.get_future().get();
    }
};

}

TEST_CASE("Rows are read whole, by page where they are many")
{
    // The second page ended the process on the bench (grown bcw-signups, trouble-1).
    for (int n : { 0, 1, 499, 500, 501, 1203 }) {
        CAPTURE(n);
        World world;
        world.thread.call([&] {
            for (int i = 0; i < n; ++i)
                world.store->put("t", "key " + std::to_string(i), "value");
        });
        auto read = world.readAll("t");
        CHECK(read.state == ReadState::Ok);
        CHECK(read.rows.size() == static_cast<std::size_t>(n));
        std::set<std::string> keys;
        for (const auto& row : read.rows)
            keys.insert(row.key);
        CHECK(keys.size() == read.rows.size());
    }
}

TEST_CASE("Changes in order, with removals")
{
    World world;
    world.thread.call([&] { world.store->put("t", "a", "1"); });
    auto position = world.readAll("t").version;
    world.thread.call([&] {
        world.store->put("t", "b", std::string("\0\xff", 2));
        world.store->put("other", "c", "3");
        world.store->remove("t", "a");
    });
    auto read = world.readChanges("t", position, 0);
    REQUIRE(read.rows.size() == 2);
    CHECK(read.rows[0].value == std::string("\0\xff", 2));
    CHECK(!read.rows[1].value);
    CHECK(read.version > position);
    world.thread.call([&] { world.store->forgetHistory(); });
    CHECK(world.readChanges("t", position, 0).state == ReadState::HistoryGone);
}

TEST_CASE("A wait for changes ends with the first one")
{
    World world;
    auto position = world.readAll("t").version;
    auto later = std::async(std::launch::async, [&] { return world.readChanges("t", position, 5000); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    world.thread.call([&] { world.store->put("t", "a", "1"); });
    CHECK(later.get().rows.size() == 1);
    CHECK(world.readChanges("t", position + 1, 50).rows.empty());
}

TEST_CASE("Conditional writes")
{
    World world;
    auto first = world.write("k", "1", 0);
    REQUIRE(first.state == CommitState::Committed);
    auto clash = world.write("k", "2", 0);
    CHECK(clash.state == CommitState::ConditionFailed);
    REQUIRE(clash.rows.size() == 1);
    CHECK(clash.rows[0].value == "1");
    CHECK(clash.rows[0].version == first.version);
    CHECK(world.write("k", "2", first.version).state == CommitState::Committed);
}

TEST_CASE("A store that does not answer well")
{
    World world;
    world.thread.call([&] { world.store->setMode(StoreMode::Busy); });
    CHECK(world.readAll("t").state == ReadState::Unavailable);
    CHECK(world.write("k", "1", 0).state == CommitState::Unknown);
    world.thread.call([&] { world.store->setMode(StoreMode::Silent); });
    CHECK(world.readAll("t").state == ReadState::Unavailable);
    world.thread.call([&] { world.store->setMode(StoreMode::LosesAnswers); });
    CHECK(world.write("k", "1", 0).state == CommitState::Unknown);
    CHECK(world.thread.call([&] { return world.store->value("t", "k"); }) == "1");
}
