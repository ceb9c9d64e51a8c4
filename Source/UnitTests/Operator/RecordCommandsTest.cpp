#include "Operator/RecordCommands.h"

#include <doctest/doctest.h>
#include <json/json.h>

#include "Fakes/FakeTable.h"
#include "Operator/ExitCode.h"
#include "Operator/TextDiff.h"

namespace {

using Fakes::TableFault;
using Operator::ExitCode;

constexpr auto puzzleText = "schema = 1\nservice = \"puzzle\"\npool = \"puzzle\"\nslots = 4\n";
constexpr auto slotsText = "schema = 1\nservice = \"puzzle\"\npool = \"puzzle\"\nslots = 6\n";

// The commands in virtual time over a fake platform.
struct Shell {
    Fakes::FakeTable store;
    std::vector<Platform::Instance> instances;
    std::map<std::string, Operator::EntryStatus> entries; // those that answer
    std::function<void()> asleep = [] {};
    Common::TimePoint now {};
    std::uint64_t lastRandom = 0;
    std::string out;
    std::string err;

    Operator::RecordContext as(const std::string& by, bool json = false)
    {
        out.clear();
        err.clear();
        return {
            .platform = { .table = store.table(), .objects = {}, .instances = [this] { return Common::Result<std::vector<Platform::Instance>>(instances); } },
            .write = { .hooks = { .now = [this] { return now; }, .random = [this] { return ++lastRandom; } }, .wallMs = [] { return std::int64_t(0); }, .sleep = [this](Common::Duration wait) { now += wait; asleep(); } },
            .entryStatus = [this](const std::string& address) -> Common::Result<Operator::EntryStatus> {
                auto it = entries.find(address);
                if (it == entries.end())
                    return Common::Error { Common::ResultCode::PeerUnreachable, "refused" };
                return it->second; },
            .out = [this](const std::string& text) { out += text + "\n"; },
            .err = [this](const std::string& text) { err += text + "\n"; },
            .by = by,
            .json = json,
        };
    }

    Json::Value json() const
    {
        Json::Value json;
        std::istringstream in(out);
        in >> json;
        return json;
    }
};

int code(ExitCode code)
{
    return Operator::toInt(code);
}

}

TEST_CASE("operators put, read, replace and retire a record")
{
    Shell shell;
    CHECK(Operator::putRecord(shell.as("ana"), { { "a.toml", puzzleText } }) == code(ExitCode::Ok));
    CHECK(shell.out == "puzzle: put is revision 1\n");
    CHECK(Operator::getRecord(shell.as("ana"), "puzzle") == code(ExitCode::Ok));
    CHECK(shell.out.find("# revision 1 (put by ana at 1970-01-01T00:00:00Z)\n" + std::string(puzzleText)) == 0);
    CHECK(Operator::replaceRecord(shell.as("bea"), { { "b.toml", slotsText } }, 1, true) == code(ExitCode::Ok));
    CHECK(shell.out == "  schema = 1\n  service = \"puzzle\"\n  pool = \"puzzle\"\n- slots = 4\n+ slots = 6\n\n");
    CHECK(Operator::replaceRecord(shell.as("bea"), { { "b.toml", slotsText } }, 1, false) == code(ExitCode::Ok));
    CHECK(Operator::listRecords(shell.as("ana", true)) == code(ExitCode::Ok));
    CHECK(shell.json()[0]["by"].asString() == "bea");
    CHECK(Operator::retireRecord(shell.as("ana"), "puzzle", 2) == code(ExitCode::Ok));
    CHECK(Operator::getRecord(shell.as("ana"), "puzzle") == code(ExitCode::Conflict));
    CHECK(shell.err.find("retired, revision 3 (retire by ana") != std::string::npos);
    CHECK(Operator::recordHistory(shell.as("ana", true), "puzzle") == code(ExitCode::Ok));
    CHECK(shell.json().size() == 3);
    CHECK(Operator::recordHistory(shell.as("ana", true), "prize") == code(ExitCode::Ok));
    CHECK(shell.json().empty());
}

TEST_CASE("the operator who was second learns what changed and by whom")
{
    Shell shell;
    Operator::putRecord(shell.as("ana"), { { "a.toml", puzzleText } });
    Operator::replaceRecord(shell.as("bea"), { { "b.toml", slotsText } }, 1, false);
    CHECK(Operator::replaceRecord(shell.as("ana"), { { "a.toml", puzzleText } }, 1, false) == code(ExitCode::Conflict));
    CHECK(shell.out.empty());
    CHECK(shell.err.find("expected revision 1, found revision 2 (replace by bea") != std::string::npos);
    CHECK(shell.err.find("- slots = 4\n+ slots = 6\n") != std::string::npos);
    CHECK(Operator::putRecord(shell.as("ana"), { { "a.toml", puzzleText } }) == code(ExitCode::Conflict));
    CHECK(Operator::retireRecord(shell.as("ana"), "prize", 1) == code(ExitCode::Conflict));
    CHECK(shell.err == "prize: there is no record of this service\n");
}

TEST_CASE("a file with mistakes is not sent")
{
    Shell shell;
    CHECK(Operator::putRecord(shell.as("ana"), { { "a.toml", "schema = 1\nservice = \"puzzle\"\nspeed = 1\n" } }) == code(ExitCode::InvalidFile));
    CHECK(shell.err.find("a.toml:3: speed: unknown key") != std::string::npos);
    CHECK(shell.store.rows.empty());
    CHECK(shell.store.reads == 0);
}

TEST_CASE("under an outage commands try again within their limit")
{
    struct Case {
        const char* what;
        int failures; // exchanges that fail at first
        TableFault fault;
        ExitCode put;
        ExitCode get;
    };
    const Case cases[] = {
        { "short outage", 3, TableFault::Down, ExitCode::Ok, ExitCode::Ok },
        { "long outage", 1000, TableFault::Down, ExitCode::Unreachable, ExitCode::Unreachable },
    };
    for (const auto& row : cases) {
        CAPTURE(row.what);
        Shell shell;
        int left = row.failures;
        shell.store.fault = [&](bool) { return left-- > 0 ? row.fault : TableFault::None; };
        CHECK(Operator::putRecord(shell.as("ana"), { { "a.toml", puzzleText } }) == code(row.put));
        left = row.failures;
        CHECK(Operator::getRecord(shell.as("ana"), "puzzle") == code(row.get));
        CHECK(shell.now <= Common::TimePoint(2 * std::chrono::seconds(30)));
    }
    Shell shell;
    bool sent = false;
    shell.store.fault = [&](bool write) {
        sent = sent || write;
        return write ? TableFault::AnswerLost : sent ? TableFault::Down
                                                     : TableFault::None;
    };
    CHECK(Operator::putRecord(shell.as("ana"), { { "a.toml", puzzleText } }) == code(ExitCode::Unsettled));
    CHECK(shell.err.find("may have been or may still be applied as revision 1") != std::string::npos);
}

TEST_CASE("wait names the live entries where a revision is not in force")
{
    Shell shell;
    Operator::putRecord(shell.as("ana"), { { "a.toml", puzzleText } });
    auto entry = [](const std::string& address, bool leaving = false) {
        return Platform::Instance { .address = address, .kind = Platform::InstanceKind::Entry, .pool = {}, .failureDomain = {}, .leaving = leaving, .peerAddress = {} };
    };
    shell.instances = { entry("1"), entry("2"), entry("3", true), { .address = "4", .pool = "puzzle", .failureDomain = {}, .peerAddress = {} } };
    shell.entries = { { "1", { .revision = 1, .notUnderstood = {} } }, { "2", { .revision = 0, .notUnderstood = {} } } };
    auto wait = [&] { return Operator::waitForRevision(shell.as("ana", true), 1, std::chrono::seconds(2)); };
    CHECK(wait() == code(ExitCode::NotInForce));
    CHECK(shell.json()["not_in_force"]["2"].asString() == "is at revision 0");
    CHECK(shell.json()["not_in_force"].size() == 1);
    shell.entries["2"] = { .revision = 1, .notUnderstood = { "puzzle" } };
    CHECK(wait() == code(ExitCode::NotInForce));
    CHECK(shell.err == "2 does not understand the record of puzzle\n");
    shell.entries.erase("2");
    CHECK(wait() == code(ExitCode::NotInForce));
    CHECK(shell.err == "2 does not answer: refused\n");
    shell.asleep = [&] { shell.entries["2"] = { .revision = 1, .notUnderstood = {} }; };
    CHECK(wait() == code(ExitCode::Ok));
}

TEST_CASE("a difference shows lines left out, added and kept")
{
    CHECK(Operator::textDiff("a\nb\n", "a\nb\n").empty());
    CHECK(Operator::textDiff("a\nb\nc\n", "a\nx\nc\nd\n") == "  a\n- b\n+ x\n  c\n+ d\n");
}
