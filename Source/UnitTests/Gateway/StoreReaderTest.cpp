#include "Gateway/StoreReader.h"

#include <doctest/doctest.h>

#include "CatalogParts.h"
#include "platform/Binding.h"

namespace {

using Platform::ReadState;
using Platform::RowsRead;
using ReadDone = std::function<void(RowsRead)>;

// A store whose calls stay pending until the test answers them.
struct FakeStore {
    std::map<std::string, std::vector<ReadDone>> pending; // by table
    std::map<std::string, std::vector<Common::Duration>> waits; // long-poll waits requested, by table
    int cancelled = 0;

    Platform::AsyncTable hooks()
    {
        return {
            .readAll = [this](const std::string& table, ReadDone done) { pending[table].push_back(std::move(done)); },
            .readChanges = [this](const std::string& table, std::uint64_t, Common::Duration wait, ReadDone done) {
                waits[table].push_back(wait);
                pending[table].push_back(std::move(done)); },
            .write = {},
            .cancel = [this] { ++cancelled; },
        };
    }
    void answer(const std::string& table, std::uint64_t version)
    {
        auto calls = std::move(pending[table]);
        pending[table].clear();
        for (auto& done : calls)
            done({ .state = ReadState::Ok, .rows = {}, .version = version, .error = {} });
    }
};

class ReaderFixture : public UnitTests::CatalogParts {
public:
    ReaderFixture()
        : CatalogParts(PlatformAdapter::binding().decoder)
        , decoder(PlatformAdapter::binding().decoder)
        , reader(loop, log, catalog, store.hooks(), { .registryTable = decoder.registryTable, .operatorTable = decoder.operatorTable })
    {
    }

    Gateway::CatalogDecoder decoder;
    FakeStore store;
    Gateway::StoreReader reader;
};

}

// Guards against a reader that is stopped before the configuration arrives: the registry's response alone made the catalog count
// as fresh, while a configuration of 834 routes was still being transferred. This repeated, so the configuration never came.
TEST_CASE("The catalog counts as fresh only once the configuration has been read too")
{
    ReaderFixture fixture;
    auto confirmed = 0;
    fixture.reader.onTablesRead([&] { ++confirmed; });
    fixture.reader.start();
    fixture.store.answer(fixture.decoder.registryTable, 7);
    CHECK(fixture.catalog.age() > std::chrono::minutes(1));
    CHECK(confirmed == 0);
    fixture.store.answer(fixture.decoder.operatorTable, 7);
    CHECK(fixture.catalog.age() == Common::Duration::zero());
    CHECK(confirmed == 1);

    SUBCASE("A reader that is started again reads the configuration at once, without waiting for a change")
    {
        fixture.reader.stop();
        fixture.reader.start();
        REQUIRE(!fixture.store.waits[fixture.decoder.operatorTable].empty());
        CHECK(fixture.store.waits[fixture.decoder.operatorTable].back() == Common::Duration::zero());
        fixture.store.answer(fixture.decoder.registryTable, 8);
        CHECK(confirmed == 1);
        fixture.store.answer(fixture.decoder.operatorTable, 8);
        CHECK(confirmed == 2);
    }
}
