#include "Gateway/Organisations.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace {

using Gateway::OrganisationEntry;
using Gateway::Organisations;

constexpr std::uint64_t seed = 7;

std::vector<OrganisationEntry> entries(int organisations, int keysEach)
{
    std::vector<OrganisationEntry> list;
    for (int i = 0; i < organisations; ++i) {
        OrganisationEntry entry { .organisation = { .name = fmt::format("organisation-{}", i), .priority = {} }, .keys = {} };
        for (int j = 0; j < keysEach; ++j)
            entry.keys.push_back(fmt::format("key-{}-{}", i, j));
        list.push_back(entry);
    }
    return list;
}

struct BadKeys {
    std::string what;
    std::vector<std::string> first; // keys of organisation "one"
    std::vector<std::string> second; // keys of organisation "two"
    std::string named; // in the error
};

const BadKeys badKeys[] = {
    { "one key at two organisations", { "a", "secret" }, { "secret" }, "'two'" },
    { "one key twice at one organisation", { "secret", "secret" }, {}, "'one'" },
    { "empty key", { "a" }, { "" }, "'two'" },
    { "huge key", { std::string(257, 'k') }, {}, "'one'" },
    { "blank in a key", { "se cret" }, {}, "'one'" },
    { "line break in a key", { "se\ncret" }, {}, "'one'" },
    { "bytes above ASCII in a key", { "s\xc3\xa9"
                                      "cret" },
        {}, "'one'" },
};

}

TEST_CASE("Each key belongs to its organisation, and no other key to any")
{
    for (const auto& size : { std::pair(0, 0), std::pair(1, 1), std::pair(85, 2), std::pair(100, 1000) }) {
        auto organisations = size.first;
        auto keysEach = size.second;
        CAPTURE(organisations);
        CAPTURE(keysEach);
        auto made = Organisations::make(entries(organisations, keysEach), seed);
        REQUIRE(made);
        const auto& all = made.value();
        CHECK(all.empty() == (organisations == 0));
        CHECK(all.keyCount() == static_cast<std::size_t>(organisations * keysEach));
        // Guards against keys that take up the memory of a small gateway, which holds two configurations during an update.
        constexpr std::size_t bytesOfKey = 24;
        constexpr std::size_t bytesOfNone = 64;
        CHECK(all.keyBytes() <= all.keyCount() * bytesOfKey + bytesOfNone);
        for (int i = 0; i < organisations; ++i) {
            for (int j = 0; j < keysEach; ++j) {
                const auto* found = all.find(fmt::format("key-{}-{}", i, j));
                REQUIRE(found);
                CHECK(found->name == fmt::format("organisation-{}", i));
            }
        }
        for (const std::string unknown : { "", "key", "key-0-0 ", "KEY-0-0", "key-0-0,key-0-0" })
            CHECK(!all.find(unknown));
        CHECK(!all.find(std::string(100'000, 'k')));
    }
}

// The text may stand in logs.
TEST_CASE("Keys that can't be told apart or sent are an error that names the organisation and not the key")
{
    for (const auto& row : badKeys) {
        CAPTURE(row.what);
        auto made = Organisations::make({ { .organisation = { .name = "one", .priority = {} }, .keys = row.first }, { .organisation = { .name = "two", .priority = {} }, .keys = row.second } }, seed);
        REQUIRE(!made);
        CHECK(made.error().text.find(row.named) != std::string::npos);
        CHECK(made.error().text.find("cret") == std::string::npos);
    }
}
