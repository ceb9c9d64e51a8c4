#include "Gateway/News.h"

#include <doctest/doctest.h>

using namespace Gateway;

TEST_CASE("News survive their way")
{
    NewsRequest request { .member = { .control = "c", .callers = "d", .failureDomain = "a", .startedMs = 5, .capacity = 0.25, .serving = true }, .position = { .registry = 7, .operators = 9 }, .listedBy = "r", .membersRevision = 3, .wait = std::chrono::milliseconds(400), .roster = { .relays = { "x", "y" }, .version = 4 } };
    auto read = parseNewsRequest(toText(request));
    REQUIRE(read.has_value());
    CHECK(read.value().member == request.member);
    CHECK(read.value().position == request.position);
    CHECK(read.value().roster.relays == request.roster.relays);
    CHECK(read.value().wait == request.wait);

    NewsAnswer answer { .relays = true, .roster = request.roster, .update = { .whole = true, .position = { .registry = 8, .operators = 2 }, .age = std::chrono::milliseconds(12), .rows = { { .table = "t", .key = "k", .value = "v\"\n", .version = 6 }, { .table = "t", .key = "gone", .value = {}, .version = 7 } } }, .members = { .whole = false, .revision = 11, .total = 2, .members = { request.member }, .gone = { "z" } } };
    auto back = parseNewsAnswer(toText(answer, encodeRows(answer.update.rows)));
    REQUIRE(back.has_value());
    CHECK(back.value().update.rows.size() == 2);
    CHECK(back.value().update.rows[0].value == "v\"\n");
    CHECK(!back.value().update.rows[1].value);
    CHECK(back.value().members.members == answer.members.members);
    CHECK(back.value().members.gone == answer.members.gone);
    CHECK(back.value().members.revision == 11);
}

TEST_CASE("News that are none")
{
    for (const char* text : { "", "[]", "{", R"({"member":5})", R"({"member":["c","d","a",1,1,1],"registry":"x"})", R"({"member":["c","d","a",1,1,1],"registry":-1})" }) {
        CAPTURE(text);
        CHECK(!parseNewsRequest(text));
    }
    CHECK(!parseNewsAnswer(R"({"relays":[]})"));
    CHECK(!parseNewsAnswer(R"({"relays":true})"));
    CHECK(!parseNewsAnswer("{\"relays\":true}\n[5"));
    CHECK(!parseNewsAnswer("{\"relays\":true,\"rows_deflated\":true}\nno zlib"));
    CHECK(!parseRoster("nonsense", 1));
}

TEST_CASE("Many rows travel in few bytes, and damage to them is seen")
{
    std::vector<Platform::TableRow> rows;
    for (int i = 0; i < 400; ++i)
        rows.push_back({ .table = "servers", .key = "i-" + std::to_string(i), .value = R"({"address":"10.1.0.1:8000","status":{"state":"ready"}})", .version = static_cast<std::uint64_t>(i) });
    auto encoded = encodeRows(rows);
    CHECK(encoded.isDeflated);
    CHECK(encoded.bytes.size() < 6000);
    NewsAnswer answer { .relays = true, .roster = {}, .update = { .whole = true, .position = {}, .age = {}, .rows = {} }, .members = {} };
    auto text = toText(answer, encoded);
    auto back = parseNewsAnswer(text);
    REQUIRE(back.has_value());
    REQUIRE(back.value().update.rows.size() == rows.size());
    CHECK(back.value().update.rows.back().key == rows.back().key);
    for (auto cut : { text.size() - 1, text.size() - 200 })
        CHECK(!parseNewsAnswer(text.substr(0, cut)));
    text[text.size() - 100] = static_cast<char>(text[text.size() - 100] ^ 0x55);
    CHECK(!parseNewsAnswer(text));
}
