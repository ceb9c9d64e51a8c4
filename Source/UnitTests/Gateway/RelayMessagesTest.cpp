#include "Gateway/RelayMessages.h"

#include <doctest/doctest.h>

using namespace Gateway;

TEST_CASE("An update request and response are read back as they were written")
{
    UpdateRequest request {
        .member = { .control = "c", .callers = "d", .failureDomain = "a", .startedMs = 5, .capacity = 0.25, .serving = true, .forwarding = "e" },
        .position = { .registry = 7, .operators = 9 },
        .membersFrom = "r",
        .membersRevision = 3,
        .membersStartedMs = 6,
        .wait = std::chrono::milliseconds(400),
        .relayList = { .relays = { "x", "y" }, .version = 4 },
        .crashes = { { .identity = ~std::uint64_t(0), .servers = { 1, ~std::uint64_t(1) }, .answered = false }, { .identity = 5, .servers = {}, .answered = true } },
        .crashesRevision = 12,
        .usage = { { .gateway = "c", .startedMs = 5, .isFull = true, .countedFor = std::chrono::milliseconds(30), .usage = { { .organisation = "o", .received = ~std::uint64_t(0), .admitted = 2 }, { .organisation = "p", .received = 3, .admitted = 0 } } },
            { .gateway = "d", .startedMs = 6, .usage = {} } },
        .allowancesRevision = 14,
    };
    auto read = parseUpdateRequest(toText(request));
    REQUIRE(read.has_value());
    CHECK(read.value().member == request.member);
    CHECK(read.value().position == request.position);
    CHECK(read.value().relayList.relays == request.relayList.relays);
    CHECK(read.value().wait == request.wait);
    CHECK(read.value().membersStartedMs == 6);
    CHECK(read.value().crashes == request.crashes);
    CHECK(read.value().crashesRevision == 12);
    REQUIRE(read.value().usage.size() == 2);
    CHECK(read.value().usage[0].gateway == "c");
    CHECK(read.value().usage[0].startedMs == 5);
    CHECK(read.value().usage[0].isFull);
    CHECK(read.value().usage[0].countedFor == std::chrono::milliseconds(30));
    REQUIRE(read.value().usage[0].usage.size() == 2);
    CHECK(read.value().usage[0].usage[0].received == ~std::uint64_t(0));
    CHECK(read.value().usage[0].usage[0].admitted == 2);
    CHECK(read.value().usage[0].usage[1].organisation == "p");
    CHECK(!read.value().usage[1].isFull);
    CHECK(read.value().allowancesRevision == 14);
    // Without organisations, nothing of them is sent; such a gateway is not answered because of allowances.
    request.usage.clear();
    CHECK(toText(request).find("usage") == std::string::npos);
    CHECK(toText(request).find("allowances") == std::string::npos);
    CHECK(parseUpdateRequest(toText(request)).value().allowancesRevision == ~std::uint64_t(0));
    // A gateway of a version without crash reports can't be told of them.
    CHECK(parseUpdateRequest(R"({"member":["c","d","a",1,1,1]})").value().crashesRevision == ~std::uint64_t(0));

    // One without forwarded requests takes none.
    CHECK(parseUpdateRequest(R"({"member":["c","d","a",1,1,1]})").value().member.forwarding.empty());

    UpdateResponse response {
        .isRelay = true,
        .relayList = request.relayList,
        .catalog = {
            .isFull = true,
            .knowsRemovals = true,
            .position = { .registry = 8, .operators = 2 },
            .age = std::chrono::milliseconds(12),
            .rows = {
                { .table = "t", .key = "k", .value = "v\"\n", .version = 6 },
                { .table = "t", .key = "gone", .value = {}, .version = 7 },
            },
        },
        .members = { .isFull = false, .revision = 11, .total = 2, .members = { request.member }, .departed = { "z" }, .remoteTargets = std::vector { request.member } },
        .crashes = request.crashes,
        .crashesRevision = 13,
        .allowances = std::vector<Decisions::Allowance> { { .organisation = "o", .fraction = 0.25, .wait = std::chrono::milliseconds(70) } },
        .allowancesRevision = 15,
    };
    auto back = parseUpdateResponse(toText(response, encodeRows(response.catalog.rows)));
    REQUIRE(back.has_value());
    CHECK(back.value().catalog.isFull);
    CHECK(back.value().catalog.knowsRemovals);
    CHECK(back.value().catalog.rows.size() == 2);
    CHECK(back.value().catalog.rows[0].value == "v\"\n");
    CHECK(!back.value().catalog.rows[1].value);
    CHECK(back.value().members.members == response.members.members);
    CHECK(back.value().members.departed == response.members.departed);
    CHECK(back.value().members.revision == 11);
    CHECK(back.value().members.remoteTargets == response.members.remoteTargets);
    response.members.remoteTargets.reset();
    CHECK(!parseUpdateResponse(toText(response, encodeRows({}))).value().members.remoteTargets);
    CHECK(back.value().crashes == request.crashes);
    CHECK(back.value().crashesRevision == 13);
    REQUIRE(back.value().allowances);
    REQUIRE(back.value().allowances->size() == 1);
    CHECK(back.value().allowances->front().organisation == "o");
    CHECK(back.value().allowances->front().fraction == 0.25);
    CHECK(back.value().allowances->front().wait == std::chrono::milliseconds(70));
    CHECK(back.value().allowancesRevision == 15);
    // No fractions known and no organisation limited are told apart.
    response.allowances->clear();
    CHECK(parseUpdateResponse(toText(response, encodeRows({}))).value().allowances);
    response.allowances.reset();
    CHECK(toText(response, encodeRows({})).find("allowances") == std::string::npos);
    CHECK(!parseUpdateResponse(toText(response, encodeRows({}))).value().allowances);
}

TEST_CASE("Malformed update requests, responses and relay lists are rejected")
{
    for (const char* text : { "", "[]", "{", R"({"member":5})", R"({"member":["c","d","a",1,1,1],"registry":"x"})", R"({"member":["c","d","a",1,1,1],"registry":-1})", R"({"member":["c","d","a",1,1,1],"crashes":[["x"]]})", R"({"member":["c","d","a",1,1,1],"crashes":[5]})", R"({"member":["c","d","a",1,1,1],"usage":[5]})", R"({"member":["c","d","a",1,1,1],"usage":[["g",1,1,0,"o",-1,0]]})" }) {
        CAPTURE(text);
        CHECK(!parseUpdateRequest(text));
    }
    CHECK(!parseUpdateResponse(R"({"relays":[]})"));
    CHECK(!parseUpdateResponse(R"({"relays":true})"));
    CHECK(!parseUpdateResponse("{\"relays\":true}\n[5"));
    CHECK(!parseUpdateResponse("{\"relays\":true,\"rows_deflated\":true}\nno zlib"));
    CHECK(!parseRelayList("nonsense", 1, 3));
}

TEST_CASE("Many rows are compressed, and truncated or corrupted ones are rejected")
{
    std::vector<Platform::TableRow> rows;
    for (int i = 0; i < 400; ++i)
        rows.push_back({ .table = "servers", .key = "i-" + std::to_string(i), .value = R"({"address":"10.1.0.1:8000","status":{"state":"ready"}})", .version = static_cast<std::uint64_t>(i) });
    auto encoded = encodeRows(rows);
    CHECK(encoded.isDeflated);
    CHECK(encoded.bytes.size() < 6000);
    UpdateResponse response { .isRelay = true, .relayList = {}, .catalog = { .isFull = true, .position = {}, .age = {}, .rows = {} }, .members = {}, .crashes = {}, .allowances = {} };
    auto text = toText(response, encoded);
    auto back = parseUpdateResponse(text);
    REQUIRE(back.has_value());
    REQUIRE(back.value().catalog.rows.size() == rows.size());
    CHECK(back.value().catalog.rows.back().key == rows.back().key);
    for (auto size : { text.size() - 1, text.size() - 200 })
        CHECK(!parseUpdateResponse(text.substr(0, size)));
    text[text.size() - 100] = static_cast<char>(text[text.size() - 100] ^ 0x55);
    CHECK(!parseUpdateResponse(text));
}
