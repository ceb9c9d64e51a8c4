#include "Gateway/StoreReader.h"

#include <doctest/doctest.h>

#include "platform/Binding.h"

namespace {

using Platform::ReadState;
using Platform::RowsRead;
using ReadDone = std::function<void(RowsRead)>;

// A store whose calls the test answers by hand.
struct FakeStore {
    std::map<std::string, std::vector<ReadDone>> waiting; // by table
    std::map<std::string, std::vector<Common::Duration>> waits; // asked for, by table
    int cancelled = 0;

    Platform::AsyncTable hooks()
    {
        return {
            .readAll = [this](const std::string& table, ReadDone done) { waiting[table].push_back(std::move(done)); },
            .readChanges = [this](const std::string& table, std::uint64_t, Common::Duration wait, ReadDone done) {
                waits[table].push_back(wait);
                waiting[table].push_back(std::move(done)); },
            .write = {},
            .cancel = [this] { ++cancelled; },
        };
    }
    void answer(const std::string& table, std::uint64_t version)
    {
        auto calls = std::move(waiting[table]);
        waiting[table].clear();
        for (auto& done : calls)
            done({ .state = ReadState::Ok, .rows = {}, .version = version, .error = {} });
    }
};

class ReaderWorld {
public:
    ReaderWorld()
        : loop({ .now = [] { return Common::TimePoint(std::chrono::hours(2)); }, .random = [] { return std::uint64_t(0); } })
        , log({ .process = "test", .format = Common::LogFormat::Off })
        , backends(loop, log, {})
        , router(loop, log, backends, {})
        , catalog(loop, log, backends, router, { .decoder = decoder })
        , reader(loop, log, catalog, store.hooks(), { .registryTable = decoder.registryTable, .operatorTable = decoder.operatorTable })
    {
    }

    Gateway::CatalogDecoder decoder = PlatformAdapter::binding().decoder;
    FakeStore store;
    Net::EventLoop loop;
    Common::EventLog log;
    Gateway::Backends backends;
    Gateway::RequestRouter router;
    Gateway::Catalog catalog;
    Gateway::StoreReader reader;
};

}

// Found on the bench (grown bcw-signups, drawn day fresh-0ad4): a configuration of 834 routes was still on its way when the
// registry's answer made all that was known look fresh, and the reader was switched off before it came, again and again.
TEST_CASE("What is known counts as fresh only once the configuration has been looked at too")
{
    ReaderWorld world;
    auto confirmed = 0;
    world.reader.onConfirmed([&] { ++confirmed; });
    world.reader.start();
    world.store.answer(world.decoder.registryTable, 7);
    CHECK(world.catalog.age() > std::chrono::minutes(1));
    CHECK(confirmed == 0);
    world.store.answer(world.decoder.operatorTable, 7);
    CHECK(world.catalog.age() == Common::Duration::zero());
    CHECK(confirmed == 1);

    SUBCASE("and a reader that starts again looks at it at once, without waiting for a change")
    {
        world.reader.stop();
        world.reader.start();
        REQUIRE(!world.store.waits[world.decoder.operatorTable].empty());
        CHECK(world.store.waits[world.decoder.operatorTable].back() == Common::Duration::zero());
        world.store.answer(world.decoder.registryTable, 8);
        CHECK(confirmed == 1);
        world.store.answer(world.decoder.operatorTable, 8);
        CHECK(confirmed == 2);
    }
}
