#include "platform/StoreClient.h"

#include <future>
#include <set>

#include <doctest/doctest.h>

#include "Backends/ScriptedServer.h"
#include "platform/Names.h"
#include "platform/StandIn/LoopThread.h"
#include "platform/StandIn/Store.h"

namespace {

using Platform::CommitState;
using Platform::ReadState;
using PlatformStandIn::Store;
using PlatformStandIn::StoreMode;

struct StoreFixture {
    PlatformStandIn::LoopThread thread;
    std::unique_ptr<Store> store;
    Platform::AsyncTable table;

    StoreFixture()
    {
        thread.call([&] {
            store = std::make_unique<Store>(thread.loop());
            table = PlatformAdapter::openStore(thread.loop(), { .address = store->address() });
        });
    }
    ~StoreFixture()
    {
        thread.call([&] {
            table = {};
            store.reset();
        });
    }
    StoreFixture(const StoreFixture&) = delete;
    StoreFixture& operator=(const StoreFixture&) = delete;

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

TEST_CASE("All rows of a table are read, page by page if there are many")
{
    // Guards against a crash of the process while it read the second page of a table with more than 500 rows.
    for (int n : { 0, 1, 499, 500, 501, 1203 }) {
        CAPTURE(n);
        StoreFixture fixture;
        fixture.thread.call([&] {
            for (int i = 0; i < n; ++i)
                fixture.store->put("t", "key " + std::to_string(i), "value");
        });
        auto read = fixture.readAll("t");
        CHECK(read.state == ReadState::Ok);
        CHECK(read.rows.size() == static_cast<std::size_t>(n));
        std::set<std::string> keys;
        for (const auto& row : read.rows)
            keys.insert(row.key);
        CHECK(keys.size() == read.rows.size());
    }
}

TEST_CASE("Changes are delivered in order and include deletions")
{
    StoreFixture fixture;
    fixture.thread.call([&] { fixture.store->put("t", "a", "1"); });
    auto position = fixture.readAll("t").version;
    fixture.thread.call([&] {
        fixture.store->put("t", "b", std::string("\0\xff", 2));
        fixture.store->put("other", "c", "3");
        fixture.store->remove("t", "a");
    });
    auto read = fixture.readChanges("t", position, 0);
    REQUIRE(read.rows.size() == 2);
    CHECK(read.rows[0].value == std::string("\0\xff", 2));
    CHECK(!read.rows[1].value);
    CHECK(read.version > position);
    fixture.thread.call([&] { fixture.store->expireHistory(); });
    CHECK(fixture.readChanges("t", position, 0).state == ReadState::HistoryExpired);
}

TEST_CASE("Waiting for changes ends with the first change")
{
    StoreFixture fixture;
    auto position = fixture.readAll("t").version;
    auto later = std::async(std::launch::async, [&] { return fixture.readChanges("t", position, 5000); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    fixture.thread.call([&] { fixture.store->put("t", "a", "1"); });
    CHECK(later.get().rows.size() == 1);
    CHECK(fixture.readChanges("t", position + 1, 50).rows.empty());
}

TEST_CASE("A conditional write fails and returns the current row if the version differs")
{
    StoreFixture fixture;
    auto first = fixture.write("k", "1", 0);
    REQUIRE(first.state == CommitState::Committed);
    auto conflict = fixture.write("k", "2", 0);
    CHECK(conflict.state == CommitState::ConditionFailed);
    REQUIRE(conflict.rows.size() == 1);
    CHECK(conflict.rows[0].value == "1");
    CHECK(conflict.rows[0].version == first.version);
    CHECK(fixture.write("k", "2", first.version).state == CommitState::Committed);
}

TEST_CASE("An unavailable or silent store, and a lost response to a write, are reported as such")
{
    StoreFixture fixture;
    fixture.thread.call([&] { fixture.store->setMode(StoreMode::Busy); });
    CHECK(fixture.readAll("t").state == ReadState::Unavailable);
    CHECK(fixture.write("k", "1", 0).state == CommitState::Unknown);
    fixture.thread.call([&] { fixture.store->setMode(StoreMode::Silent); });
    CHECK(fixture.readAll("t").state == ReadState::Unavailable);
    fixture.thread.call([&] { fixture.store->setMode(StoreMode::LosesResponses); });
    CHECK(fixture.write("k", "1", 0).state == CommitState::Unknown);
    CHECK(fixture.thread.call([&] { return fixture.store->value("t", "k"); }) == "1");
}

// What a table reads from a store that responds with this body.
static Platform::RowsRead readFrom(const std::string& body)
{
    UnitTests::ScriptedServer server({ { UnitTests::ReadRequest {}, UnitTests::SendBytes { "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body }, UnitTests::WaitForClient {} } });
    PlatformStandIn::LoopThread thread;
    std::promise<Platform::RowsRead> result;
    auto table = thread.call([&] { return PlatformAdapter::openStore(thread.loop(), { .address = server.address() }); });
    thread.call([&] { table.readAll("t", [&](const Platform::RowsRead& read) { result.set_value(read); }); });
    auto read = result.get_future().get();
    thread.call([&] { table = {}; });
    return read;
}

TEST_CASE("Malformed answers of the store are reported as such")
{
    for (const std::string body : { R"({"rows":[],"ver":1,"has_more":"yes"})", R"({"rows":[5],"ver":1})", R"({"rows":[{"key":{},"ver":1}],"ver":1})", R"({"rows":[],"ver":"x"})", "[]", "" }) {
        CAPTURE(body);
        CHECK(readFrom(body).rows.empty());
    }
}

// Guards against one odd row that ends the process, or keeps it from following all others.
TEST_CASE("A row whose value cannot be decoded does not affect the other rows")
{
    const std::string body = R"({"rows":[{"key":"odd","ver":1,"value":"!{}"},{"key":"cut","ver":2,"value":"YQ"},{"key":"usual","ver":3,"value":"YQ=="}],"ver":3})";
    auto read = readFrom(body);
    CHECK(read.state == Platform::ReadState::Ok);
    REQUIRE(read.rows.size() == 3);
    CHECK(read.rows[0].value == "");
    CHECK(read.rows[2].value == "a");
}

namespace {

struct EndlessStoreCase {
    std::string what;
    std::string table;
    std::string begin; // of the response
    std::string repeated; // until the client closes
    std::size_t maxBytes; // that the client may take
};

constexpr std::size_t megabyte = 1024 * 1024;
constexpr std::size_t configurationBytes = 12 * megabyte;
constexpr std::size_t pageBytes = 8 * megabyte;
const std::string filler = std::string(64 * 1024, '1');

const EndlessStoreCase endlessStoreCases[] = {
    { "body of the operators' table", PlatformAdapter::Names::operatorTable, "HTTP/1.1 200 OK\r\n\r\n", filler, configurationBytes },
    { "chunks of the operators' table", PlatformAdapter::Names::operatorTable, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + filler + "\r\n", configurationBytes },
    { "body of another table", "t", "HTTP/1.1 200 OK\r\n\r\n", filler, pageBytes },
    { "length beyond the limit", "t", "HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n", filler, pageBytes },
    { "head", "t", "HTTP/1.1 200 OK\r\n", "X-Filler: " + filler + "\r\n", pageBytes },
    { "bytes that are no response", "t", "", filler, pageBytes },
};

}

// Guards against a gateway that runs out of memory, with its callers' requests, as the store sends bytes without end.
TEST_CASE("A response of the store without end is given up after bounded bytes")
{
    constexpr std::size_t socketBuffers = 8 * megabyte;
    for (const auto& row : endlessStoreCases) {
        CAPTURE(row.what);
        UnitTests::ScriptedServer server({ { UnitTests::ReadRequest {}, UnitTests::SendBytes { row.begin }, UnitTests::Flood { row.repeated } } });
        PlatformStandIn::LoopThread thread;
        std::promise<Platform::RowsRead> result;
        auto table = thread.call([&] { return PlatformAdapter::openStore(thread.loop(), { .address = server.address(), .maxConfigurationBytes = configurationBytes }); });
        thread.call([&] { table.readAll(row.table, [&](const Platform::RowsRead& read) { result.set_value(read); }); });
        CHECK(result.get_future().get().state == ReadState::Unavailable);
        CHECK(server.flooded() <= row.maxBytes + socketBuffers);
        thread.call([&] { table = {}; });
    }
}
