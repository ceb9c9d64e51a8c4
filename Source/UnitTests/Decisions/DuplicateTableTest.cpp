#include "Decisions/DuplicateTable.h"

#include <doctest/doctest.h>

namespace {

using Decisions::DuplicateAction;
using Decisions::DuplicateTable;

const auto start = Common::TimePoint(std::chrono::hours(1));

Decisions::RememberedAnswer answer(std::size_t bytes)
{
    return { .whole = true, .status = 200, .headers = {}, .body = std::string(bytes, 'x') };
}

}

TEST_CASE("action for a second request with the same id")
{
    DuplicateTable table({ .answerBytes = 10 });
    REQUIRE(table.begin("a", 1, start).action == DuplicateAction::Start);
    CHECK(table.begin("a", 1, start).action == DuplicateAction::Join);
    CHECK(table.begin("a", 2, start).action == DuplicateAction::Mismatch);
    CHECK(table.begin("b", 2, start).action == DuplicateAction::Start);
    SUBCASE("answered")
    {
        table.remember("a", answer(10), start);
        auto again = table.begin("a", 1, start);
        CHECK(again.action == DuplicateAction::Replay);
        CHECK(again.remembered->body == "xxxxxxxxxx");
        CHECK(table.begin("a", 2, start).action == DuplicateAction::Mismatch);
    }
    SUBCASE("answered, too large to store")
    {
        table.remember("a", answer(11), start);
        CHECK(table.begin("a", 1, start).action == DuplicateAction::Refuse);
        CHECK(table.bytes() == 0);
    }
    SUBCASE("outcome unknown")
    {
        table.remember("a", {}, start);
        CHECK(table.begin("a", 1, start).action == DuplicateAction::Refuse);
    }
    SUBCASE("did not run")
    {
        table.forget("a");
        CHECK(table.begin("a", 2, start).action == DuplicateAction::Start);
    }
}

TEST_CASE("finished requests are evicted by age, count and bytes; those in flight are kept")
{
    DuplicateTable table({ .keep = std::chrono::seconds(10), .entries = 100, .bytes = 50, .answerBytes = 10 });
    REQUIRE(table.begin("in flight", 1, start).action == DuplicateAction::Start);
    constexpr int requests = 1000;
    for (int i = 0; i < requests; ++i) {
        auto key = std::to_string(i);
        REQUIRE(table.begin(key, 1, start).action == DuplicateAction::Start);
        table.remember(key, i % 2 ? answer(10) : Decisions::RememberedAnswer {}, start);
        CHECK(table.bytes() <= 50);
        CHECK(table.size() <= 101);
    }
    CHECK(table.begin("999", 1, start).action == DuplicateAction::Replay);
    CHECK(table.begin("0", 1, start + std::chrono::seconds(10)).action == DuplicateAction::Start);
    CHECK(table.size() == 2);
    CHECK(table.begin("in flight", 1, start).action == DuplicateAction::Join);
}
