#include "Records/RecordWrite.h"

#include <doctest/doctest.h>

#include "Fakes/FakeTable.h"

namespace {

using Fakes::FakeTable;
using Fakes::TableFault;
using Records::ChangeKind;
using Records::WriteAnswer;
using Records::WriteRequest;
using Records::WriteState;

// Runs writes in virtual time; `atWait` is called before every wait.
struct Runner {
    FakeTable store;
    Common::TimePoint now {};
    std::uint64_t lastRandom = 0;
    std::function<void()> atWait = [] {};

    Records::RecordWriteOptions options()
    {
        return { .hooks = { .now = [this] { return now; }, .random = [this] { return ++lastRandom; } }, .wallMs = [] { return std::int64_t(1); } };
    }

    WriteAnswer run(const WriteRequest& request)
    {
        Records::RecordWrite write(options(), store.table(), request);
        while (auto wait = write.step()) {
            atWait();
            now += *wait;
        }
        return write.answer();
    }

    std::uint64_t headRevision() { return Records::readHead(store.table()).value().revision; }
};

WriteRequest put(const std::string& service, const std::string& by = "ana")
{
    return { .kind = ChangeKind::Put, .service = service, .by = by, .forms = { "text" } };
}

WriteRequest replace(const std::string& service, std::uint64_t expect, const std::string& by = "ana")
{
    return { .kind = ChangeKind::Replace, .service = service, .expect = expect, .by = by, .forms = { "text2" } };
}

// What happens to the first commit, and what may be said afterwards.
struct LostCase {
    const char* what;
    TableFault fault;
    bool lands; // a late write lands before the settling reads
    bool otherFirst; // another writer takes the revision meanwhile
    bool downAfter; // the store stays down until the limit
    WriteState state;
    std::uint64_t head; // afterwards
};

const LostCase lostCases[] = {
    { "applied, answer lost", TableFault::AnswerLost, false, false, false, WriteState::Applied, 1 },
    { "not applied, sent again", TableFault::Down, false, false, false, WriteState::Applied, 1 },
    { "late, lands before settling", TableFault::Late, true, false, false, WriteState::Applied, 1 },
    { "late, fenced by its second copy", TableFault::Late, false, false, false, WriteState::Applied, 1 },
    { "late, another took the revision", TableFault::Late, false, true, false, WriteState::Applied, 2 },
    { "applied, store down until the limit", TableFault::AnswerLost, false, false, true, WriteState::Unsettled, 1 },
    { "not applied, store down until the limit", TableFault::Down, false, false, true, WriteState::Unsettled, 0 },
};

}

TEST_CASE("a lost answer to a write is settled by reading back")
{
    for (const auto& row : lostCases) {
        CAPTURE(row.what);
        Runner runner;
        int commits = 0;
        runner.store.fault = [&](bool write) {
            if (write)
                return ++commits == 1 ? row.fault : TableFault::None;
            return row.downAfter && commits > 0 ? TableFault::Down : TableFault::None;
        };
        bool done = false;
        runner.atWait = [&] {
            if (commits == 0 || done)
                return;
            done = true;
            if (row.otherFirst) {
                Records::RecordWrite other(runner.options(), runner.store.table(), put("other", "bea"));
                while (other.step()) { }
            }
            if (row.lands)
                runner.store.landLate();
        };
        auto answer = runner.run(put("puzzle"));
        CHECK(answer.state == row.state);
        runner.store.landLate(); // no copy may take effect any more
        runner.store.fault = [](bool) { return TableFault::None; };
        CHECK(runner.headRevision() == row.head);
        if (row.state == WriteState::Applied)
            CHECK(Records::readChange(runner.store.table(), answer.revision).value()->nonce == answer.nonce);
    }
}

TEST_CASE("not applied is said only where nothing was sent")
{
    Runner runner;
    runner.store.fault = [](bool) { return TableFault::Down; };
    CHECK(runner.run(put("puzzle")).state == WriteState::Unavailable);
    CHECK(runner.now >= Common::TimePoint(std::chrono::seconds(25)));
    CHECK(runner.store.rows.empty());
}

TEST_CASE("of racing operators one wins and the other learns who changed what")
{
    Runner runner;
    CHECK(runner.run(put("puzzle")).revision == 1);
    auto second = runner.run(put("puzzle", "bea"));
    CHECK(second.state == WriteState::Conflict);
    CHECK(second.found->by == "ana");
    CHECK(runner.run(replace("puzzle", 1, "bea")).revision == 2);
    auto loser = runner.run(replace("puzzle", 1, "ana"));
    CHECK(loser.state == WriteState::Conflict);
    CHECK(loser.found->by == "bea");
    CHECK(loser.found->revision == 2);
    CHECK(runner.run(replace("other", 1)).state == WriteState::NotFound);
    // A change of another service does not stand in the way.
    CHECK(runner.run(put("other")).revision == 3);
    CHECK(runner.run(replace("puzzle", 2)).revision == 4);
}

TEST_CASE("a retired record leaves a tombstone and may be put again")
{
    Runner runner;
    runner.run(put("puzzle"));
    CHECK(runner.run({ .kind = ChangeKind::Retire, .service = "puzzle", .expect = 1, .by = "ana", .forms = {} }).revision == 2);
    CHECK(Records::readRecord(runner.store.table(), "puzzle").value().change->retired());
    CHECK(runner.run(replace("puzzle", 2)).state == WriteState::NotFound);
    auto again = runner.run(put("puzzle"));
    CHECK(again.revision == 3);
    CHECK(Records::readChange(runner.store.table(), 3).value()->previous == 2);
}

TEST_CASE("old changes are trimmed in the same transaction")
{
    Runner runner;
    runner.run(put("puzzle"));
    for (std::uint64_t i = 1; i < Records::keptChanges + 20; ++i)
        runner.run(replace("puzzle", i));
    auto history = Records::readHistory(runner.store.table()).value();
    CHECK(history.size() == Records::keptChanges);
    CHECK(history.front().revision == 21);
    // A reader that is too far behind is told so; one within reach gets every change.
    CHECK_FALSE(Records::readChanges(runner.store.table(), 5).value().has_value());
    CHECK(Records::readChanges(runner.store.table(), 20).value()->size() == Records::keptChanges);
    CHECK(Records::readImage(runner.store.table()).value().records.size() == 1);
}
