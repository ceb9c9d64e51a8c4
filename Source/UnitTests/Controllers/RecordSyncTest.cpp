#include "Controllers/RecordSync.h"

#include <algorithm>
#include <random>

#include <doctest/doctest.h>

#include "Decisions/RecordReaders.h"
#include "Fakes/FakeTable.h"
#include "Records/RecordWrite.h"

namespace {

using Common::EventId;
using Decisions::ApplyResult;
using Fakes::TableFault;
using Records::RecordUpdate;

std::string form(int schema, int slots)
{
    auto text = "schema = " + std::to_string(schema) + "\nservice = \"puzzle\"\npool = \"p\"\n";
    return text + (schema == 1 ? "" : "[limits]\n") + "slots = " + std::to_string(slots) + "\n";
}

Records::RecordChange changeOf(std::uint64_t revision, const std::string& text)
{
    return { .revision = revision, .previous = revision - 1, .kind = revision == 1 ? Records::ChangeKind::Put : Records::ChangeKind::Replace, .service = "puzzle", .by = "ana", .nonce = "n", .forms = { text } };
}

// One entry in virtual time.
struct Fixture {
    Fakes::FakeTable store;
    std::optional<Platform::Object> object;
    int puts = 0;
    Common::TimePoint now {};
    std::mt19937_64 generator { 1 };
    Common::EventLog log { { .process = {}, .format = Common::LogFormat::Off } };
    std::unique_ptr<Controllers::RecordController> records;
    std::unique_ptr<Controllers::RecordSync> sync;

    explicit Fixture(Controllers::RecordPeers peers = {}, int newestSchema = Records::newestSchema)
    {
        Platform::Objects objects {
            .get = [this](const std::string&) { return Common::Result<std::optional<Platform::Object>>(object); },
            .put = [this](const std::string&, const std::string& bytes, const std::string& etag) -> Common::Result<std::string> {
                if (etag != (object ? object->etag : ""))
                    return Common::Error { Common::ResultCode::RecordConflict, "replaced" };
                object = { .bytes = bytes, .etag = "e" + std::to_string(++puts) };
                return object->etag; },
        };
        records = std::make_unique<Controllers::RecordController>(store.table(), log, newestSchema);
        Controllers::RecordSyncOptions options { .hooks = { .now = [this] { return now; }, .random = [this] { return generator(); } }, .schedule = {} };
        sync = std::make_unique<Controllers::RecordSync>(options, Platform::Services { .table = store.table(), .objects = objects, .instances = {} }, *records, log);
        sync->setPeers(std::move(peers));
    }

    // Stores a change as operators do, at once.
    void write(std::uint64_t revision, const std::string& text)
    {
        auto head = Records::readHead(store.table()).value();
        auto row = Records::readRecord(store.table(), "puzzle").value();
        store.table().commit(Records::changeTransaction(head, row, changeOf(revision, text))).value();
    }

    void runFor(Common::Duration duration)
    {
        auto end = now + duration;
        while (now < end)
            now = std::min<Common::TimePoint>(end, now + std::max<Common::Duration>(sync->step(), std::chrono::milliseconds(1)));
    }

    long count(EventId id) const
    {
        auto events = log.since(0);
        return std::count_if(events.begin(), events.end(), [&](const auto& event) { return event.id == id; });
    }

    int slots() const { return records->current()->services.at("puzzle")->slots; }
};

Common::Error noPeer()
{
    return { Common::ResultCode::PeerUnreachable, "none" };
}

}

TEST_CASE("an entry that starts during an outage is ready only with the newest from peers, or late with the snapshot")
{
    Records::RecordImage older { .revision = 1, .records = { changeOf(1, form(1, 1)) }, .unreadable = {} };
    Records::RecordImage newer { .revision = 2, .records = { changeOf(2, form(1, 2)) }, .unreadable = {} };
    struct Case {
        const char* what;
        bool snapshot;
        bool peer;
        bool readyAtOnce;
        bool readyLate;
        std::uint64_t revision;
    };
    const Case cases[] = {
        { "both", true, true, true, true, 2 },
        { "peers only", false, true, true, true, 2 },
        { "snapshot only", true, false, false, true, 1 },
        { "nothing", false, false, false, false, 0 },
    };
    for (const auto& row : cases) {
        CAPTURE(row.what);
        Fixture entry({ .fetch = [&](std::uint64_t since) -> Common::Result<RecordUpdate> {
            if (!row.peer)
                return noPeer();
            return RecordUpdate { .since = since, .changes = {}, .image = newer }; }, .push = {} });
        entry.store.fault = [](bool) { return TableFault::Down; };
        if (row.snapshot)
            entry.object = { .bytes = Records::encodeImage(older), .etag = "e" };
        entry.sync->step();
        CHECK(entry.sync->ready() == row.readyAtOnce);
        entry.runFor(std::chrono::seconds(12));
        CHECK(entry.sync->ready() == row.readyLate);
        CHECK(entry.records->current()->revision == row.revision);
    }
}

TEST_CASE("a long outage is one event, changes nothing in force, and ends by itself")
{
    Fixture entry;
    entry.write(1, form(1, 1));
    entry.runFor(std::chrono::seconds(1));
    entry.store.fault = [](bool) { return TableFault::Down; };
    auto readsBefore = entry.store.reads;
    entry.runFor(std::chrono::minutes(10));
    CHECK(entry.count(EventId::StoreUnreachable) == 1);
    CHECK(entry.store.reads - readsBefore < 600); // at most one a second
    CHECK(entry.slots() == 1);
    CHECK(entry.sync->ready());
    entry.store.fault = [](bool) { return TableFault::None; };
    entry.write(2, form(1, 2));
    entry.runFor(std::chrono::seconds(4));
    CHECK(entry.count(EventId::StoreReachable) == 1);
    CHECK(entry.slots() == 2);
}

TEST_CASE("a change costs a reader two reads, not all records")
{
    Fixture entry;
    entry.write(1, form(1, 1));
    entry.runFor(std::chrono::seconds(1));
    entry.write(2, form(1, 2));
    auto readsBefore = entry.store.reads;
    CHECK(entry.records->poll().value());
    CHECK(entry.store.reads - readsBefore == 2);
    CHECK(entry.slots() == 2);
}

TEST_CASE("an entry that is no reader learns of a newer head and gets it from a peer, else from the store")
{
    for (auto helps : { true, false }) {
        CAPTURE(helps);
        int fetches = 0;
        RecordUpdate update { .since = 1, .changes = { changeOf(2, form(1, 2)) }, .image = {} };
        Fixture entry({ .isReader = [] { return false; }, .fetch = [&](std::uint64_t) -> Common::Result<RecordUpdate> {
                           ++fetches;
                           if (helps)
                               return update;
                           return noPeer(); }, .push = {} });
        entry.write(1, form(1, 1));
        entry.sync->step();
        entry.write(2, form(1, 2));
        auto readsBefore = entry.store.reads;
        entry.runFor(std::chrono::seconds(20));
        CHECK(entry.slots() == 1);
        CHECK(entry.store.reads == readsBefore);
        entry.sync->onHeadSeen(2);
        entry.runFor(std::chrono::seconds(2));
        CHECK(entry.slots() == 2);
        CHECK(fetches == 1);
        CHECK((entry.store.reads == readsBefore) == helps);
        // A head that never was does not keep it asking.
        entry.sync->onHeadSeen(1000);
        entry.runFor(std::chrono::seconds(20));
        CHECK(fetches <= 3);
    }
}

TEST_CASE("news may come in any order and twice, and go on only forward")
{
    Fixture entry;
    auto update = [](std::uint64_t revision) { return RecordUpdate { .since = revision - 1, .changes = { changeOf(revision, form(1, static_cast<int>(revision))) }, .image = {} }; };
    CHECK(entry.sync->take(update(2)) == ApplyResult::Gap);
    CHECK(entry.sync->take(update(1)) == ApplyResult::Applied);
    CHECK(entry.sync->take(update(2)) == ApplyResult::Applied);
    CHECK(entry.sync->take(update(1)) == ApplyResult::Ignored);
    CHECK(entry.slots() == 2);
    CHECK(entry.records->updateSince(1).changes.size() == 1);
    CHECK(entry.records->updateSince(2).empty());
}

TEST_CASE("the snapshot object is renewed where it is older, never put back, and mended where it is garbage")
{
    struct Case {
        std::string bytes;
        std::uint64_t revision; // afterwards
    };
    const Records::RecordImage newer { .revision = 9, .records = { changeOf(9, form(1, 9)) }, .unreadable = {} };
    for (const auto& row : { Case { "", 1 }, Case { "garbage", 1 }, Case { Records::encodeImage({ .revision = 0, .records = {}, .unreadable = {} }), 1 }, Case { Records::encodeImage(newer), 9 } }) {
        CAPTURE(row.bytes);
        Fixture entry;
        entry.write(1, form(1, 1));
        if (!row.bytes.empty())
            entry.object = { .bytes = row.bytes, .etag = "e" };
        entry.runFor(std::chrono::seconds(60));
        CHECK(Records::decodeImage(entry.object->bytes)->revision == row.revision);
        CHECK(entry.puts == (row.revision == 1 ? 1 : 0));
    }
}

TEST_CASE("an entry that understands no form keeps the old one in force and is not offered")
{
    Fixture entry({}, 1);
    entry.write(1, form(1, 1));
    entry.runFor(std::chrono::seconds(1));
    CHECK(entry.records->current()->offered("puzzle"));
    entry.write(2, form(2, 2));
    entry.runFor(std::chrono::seconds(2));
    CHECK(entry.records->current()->revision == 2);
    CHECK(entry.slots() == 1);
    CHECK_FALSE(entry.records->current()->offered("puzzle"));
    CHECK(entry.count(EventId::RecordNotUnderstood) == 1);
    entry.write(3, form(1, 3));
    entry.runFor(std::chrono::seconds(2));
    CHECK(entry.records->current()->offered("puzzle"));
    CHECK(entry.slots() == 3);
}

TEST_CASE("the store is read less than 40 times a second whatever the number of entries")
{
    struct Case {
        int domains;
        int entriesEach;
    };
    for (const auto& row : { Case { 3, 7 }, Case { 4, 5 }, Case { 10, 20 } }) {
        CAPTURE(row.domains);
        std::vector<Decisions::EntryLocation> places;
        for (int i = 0; i < row.domains * row.entriesEach; ++i)
            places.push_back({ .address = "e" + std::to_string(i), .failureDomain = "d" + std::to_string(i % row.domains) });
        int readers = 0;
        double reads = 0;
        constexpr int seconds = 120;
        for (const auto& place : places) {
            auto reader = Decisions::isReader(place, places);
            readers += reader ? 1 : 0;
            Fixture entry({ .isReader = [=] { return reader; }, .fetch = [](std::uint64_t) -> Common::Result<RecordUpdate> { return noPeer(); }, .push = {} });
            entry.sync->step();
            auto readsBefore = entry.store.reads;
            entry.runFor(std::chrono::seconds(seconds));
            reads += entry.store.reads - readsBefore;
        }
        CHECK(readers == row.domains * Decisions::readersPerDomain);
        CHECK(reads / seconds < 40);
        MESSAGE(places.size(), " entries, ", readers, " readers: ", reads / seconds, " reads a second");
    }
}
