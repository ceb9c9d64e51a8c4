#include "Requests/ClaimFilter.h"

#include <deque>

#include <doctest/doctest.h>

#include "Fakes/FakeTable.h"

namespace {

using Common::Outcome;
using Common::ResultCode;
using Fakes::TableFault;
using Requests::Call;

// A chain with a claim filter over a table in memory, in virtual time.
class Fixture {
public:
    explicit Fixture(Requests::Filter last)
        : m_chain({ Requests::claimFilter({ .hooks = { .now = [this] { return m_now; }, .random = [this] { return ++m_random; } }, .sleep = [this](Common::Duration pause) { m_now += pause; } }, table.table(), stats, m_log), std::move(last) })
    {
    }

    Call run(bool idGiven = true)
    {
        Call call;
        call.service = "s";
        call.id = "a";
        call.idGiven = idGiven;
        call.rule.repeat = Records::Repeat::Never;
        call.rule.claim = Records::Claim::Table;
        call.deadline = m_now + std::chrono::seconds(5);
        auto begin = m_now;
        m_chain.run(call);
        CHECK(m_now - begin <= std::chrono::seconds(5));
        return call;
    }

    // Faults of the next exchanges, in order; none after them.
    void fail(std::deque<TableFault> faults)
    {
        table.fault = [faults = std::move(faults)](bool) mutable {
            if (faults.empty())
                return TableFault::None;
            auto fault = faults.front();
            faults.pop_front();
            return fault;
        };
    }

    Fakes::FakeTable table;
    Requests::CallStats stats;

private:
    Common::EventLog m_log { { .process = "test", .format = Common::LogFormat::Off } };
    Common::TimePoint m_now { std::chrono::hours(1) };
    std::uint64_t m_random = 0;
    Requests::FilterChain m_chain;
};

void answer(Call& call)
{
    call.code = ResultCode::Ok;
    call.outcome = Outcome::Answered;
}

void shed(Call& call)
{
    Requests::fail(call, ResultCode::ServerShed, "");
}

struct Row {
    std::string what;
    std::deque<TableFault> faults; // of the first call's exchanges: read, write, ...
    void (*last)(Call&);
    ResultCode first;
    int runs; // of the first call
    ResultCode resend; // through a store that works, after late writes have landed
    bool allDown = false; // the store fails for good after the faults
};

const auto none = TableFault::None;
const auto down = TableFault::Down;
const auto lost = TableFault::AnswerLost;
const auto late = TableFault::Late;

const Row rows[] = {
    { "answered", {}, answer, ResultCode::Ok, 1, ResultCode::DuplicateClaimed },
    { "shed: handed back", {}, shed, ResultCode::ServerShed, 1, ResultCode::ServerShed },
    { "store down", {}, answer, ResultCode::StoreUnavailable, 0, ResultCode::Ok, true },
    { "write lost without effect", { none, down }, answer, ResultCode::Ok, 1, ResultCode::DuplicateClaimed },
    { "write's answer lost", { none, lost }, answer, ResultCode::Ok, 1, ResultCode::DuplicateClaimed },
    { "write late, settled by a second", { none, late }, answer, ResultCode::Ok, 1, ResultCode::DuplicateClaimed },
    { "write late, shed: the free row keeps it out", { none, late }, shed, ResultCode::ServerShed, 1, ResultCode::ServerShed },
    { "write's answer lost, then down for good", { none, lost }, answer, ResultCode::ClaimUnsettled, 0, ResultCode::DuplicateClaimed, true },
    { "write late, then down for good", { none, late }, answer, ResultCode::ClaimUnsettled, 0, ResultCode::DuplicateClaimed, true },
    { "write lost, then down for good", { none, down }, answer, ResultCode::ClaimUnsettled, 0, ResultCode::Ok, true },
    { "release's answer lost", { none, none, none, lost }, shed, ResultCode::ServerShed, 1, ResultCode::ServerShed },
    { "release late, settled by a second", { none, none, none, late }, shed, ResultCode::ServerShed, 1, ResultCode::ServerShed },
    { "release without effect, then down for good", { none, none, none, down }, shed, ResultCode::ClaimUnsettled, 1, ResultCode::DuplicateClaimed, true },
};

}

TEST_CASE("claims through lost, late and failing writes")
{
    for (const auto& row : rows) {
        CAPTURE(row.what);
        int runs = 0;
        Fixture fixture([&](Call& call, const Requests::Next&) { ++runs; row.last(call); });
        auto faults = row.faults;
        if (row.allDown)
            faults.insert(faults.end(), 10000, down);
        fixture.fail(faults);
        auto first = fixture.run();
        CHECK(first.code == row.first);
        CHECK(first.outcome == Common::resultRow(row.first).outcome);
        CHECK(runs == row.runs);
        fixture.fail({});
        fixture.table.landLate();
        CHECK(fixture.run().code == row.resend);
    }
}

TEST_CASE("a claim that could not be got in time but was taken back leaves the id free")
{
    int runs = 0;
    Fixture fixture([&](Call& call, const Requests::Next&) { ++runs; answer(call); });
    // The write never gets through while the claim is sought; the free row does.
    int writes = 0;
    fixture.table.fault = [&](bool write) { return write && ++writes <= 100 ? TableFault::Late : none; };
    auto first = fixture.run();
    CHECK(first.code == ResultCode::StoreUnavailable);
    CHECK(runs == 0);
    fixture.table.landLate();
    CHECK(fixture.run().code == ResultCode::Ok);
    CHECK(runs == 1);
}

TEST_CASE("an entry killed between claim and send leaves a row that refuses a resend")
{
    int runs = 0;
    Fixture fixture([&](Call& call, const Requests::Next&) {
        if (++runs == 1)
            throw std::runtime_error("killed");
        answer(call);
    });
    CHECK_THROWS(fixture.run());
    CHECK(fixture.run().code == ResultCode::DuplicateClaimed);
    CHECK(runs == 1);
}

TEST_CASE("a claim needs the caller's own id")
{
    Fixture fixture([](Call& call, const Requests::Next&) { answer(call); });
    CHECK(fixture.run(false).code == ResultCode::BadHeader);
    CHECK(fixture.table.rows.empty());
}
