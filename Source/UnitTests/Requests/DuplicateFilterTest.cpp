#include "Requests/DuplicateFilter.h"

#include <atomic>
#include <thread>

#include <doctest/doctest.h>

namespace {

using Common::Outcome;
using Common::ResultCode;
using Requests::Call;

Call call(const std::string& body = "b")
{
    Call call;
    call.method = "POST";
    call.service = "s";
    call.servicePath = "/p";
    call.body = body;
    call.id = "a";
    call.idGiven = true;
    call.rule.repeat = Records::Repeat::Never;
    call.deadline = Common::TimePoint(std::chrono::steady_clock::now()) + std::chrono::seconds(20);
    return call;
}

class Fixture {
public:
    // A chain whose last filter answers as told.
    explicit Fixture(Requests::Filter last)
        : chain({ Requests::duplicateFilter({ .hooks = Common::systemHooks() }, stats, log), std::move(last) })
    {
    }

    Common::EventLog log { { .process = "test", .format = Common::LogFormat::Off } };
    Requests::CallStats stats;
    Requests::FilterChain chain;
};

void answer(Call& call)
{
    call.code = ResultCode::Ok;
    call.outcome = Outcome::Answered;
    call.answer = { .status = 201, .headers = {}, .body = "done" };
}

}

TEST_CASE("a second request joins the first in flight and shares its answer within its own deadline")
{
    std::atomic<int> runs { 0 };
    Fixture* shared = nullptr;
    Call late = call();
    Fixture fixture([&](Call& it, const Requests::Next&) {
        // In here the first is in flight: one whose deadline has passed leaves with an honest end.
        late.deadline = Common::TimePoint(std::chrono::steady_clock::now());
        shared->chain.run(late);
        CHECK(it.mayCancel());
        ++runs; // lets the other thread begin
        while (shared->stats.duplicatesJoined < 2)
            std::this_thread::yield();
        CHECK_FALSE(it.mayCancel());
        answer(it);
    });
    shared = &fixture;
    auto first = call();
    auto second = call();
    std::thread other([&] {
        while (runs == 0)
            std::this_thread::yield();
        fixture.chain.run(second);
    });
    fixture.chain.run(first);
    other.join();
    CHECK(runs == 1);
    CHECK(first.answer.body == "done");
    CHECK(second.code == ResultCode::Ok);
    CHECK(second.answer.status == 201);
    CHECK(second.answer.body == "done");
    CHECK(late.code == ResultCode::DuplicateInFlight);
    CHECK(late.outcome == Outcome::Unknown);
}

TEST_CASE("a resend after the end is answered from memory, refused, or sent where the first did not run")
{
    struct Row {
        std::string what;
        Requests::Filter last;
        ResultCode again;
        int runs;
    };
    const Row rows[] = {
        { "answered", [](Call& it, const Requests::Next&) { answer(it); }, ResultCode::Ok, 1 },
        { "may have run", [](Call& it, const Requests::Next&) { it.mayHaveRun = true; Requests::fail(it, ResultCode::AnswerLost, ""); }, ResultCode::DuplicateInFlight, 1 },
        { "did not run", [](Call& it, const Requests::Next&) { Requests::fail(it, ResultCode::ServerShed, ""); }, ResultCode::ServerShed, 2 },
        { "refused by the table", [](Call& it, const Requests::Next&) { Requests::fail(it, ResultCode::ClaimUnsettled, ""); }, ResultCode::ClaimUnsettled, 2 },
    };
    for (const auto& row : rows) {
        CAPTURE(row.what);
        int runs = 0;
        Fixture fixture([&](Call& it, const Requests::Next& next) { ++runs; row.last(it, next); });
        auto first = call();
        fixture.chain.run(first);
        auto again = call();
        fixture.chain.run(again);
        CHECK(again.code == row.again);
        CHECK(again.answer.body == first.answer.body);
        CHECK(runs == row.runs);
    }
}

TEST_CASE("an id used for another request is a clear error")
{
    Fixture fixture([](Call& it, const Requests::Next&) { answer(it); });
    auto first = call();
    fixture.chain.run(first);
    auto other = call("another body");
    fixture.chain.run(other);
    CHECK(other.code == ResultCode::BadHeader);
    CHECK(other.outcome == Outcome::NotRun);
}

TEST_CASE("a request whose filters fail unexpectedly is not sent again")
{
    int runs = 0;
    Fixture fixture([&](Call&, const Requests::Next&) { ++runs; throw std::runtime_error("defect"); });
    auto first = call();
    CHECK_THROWS(fixture.chain.run(first));
    auto again = call();
    fixture.chain.run(again);
    CHECK(again.code == ResultCode::DuplicateInFlight);
    CHECK(runs == 1);
}
