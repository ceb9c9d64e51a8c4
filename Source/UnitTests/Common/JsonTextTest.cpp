#include "Common/JsonText.h"

#include <limits>

#include <doctest/doctest.h>

#include "Common/Clock.h"
#include "Gateway/RelayMessages.h"
#include "platform/Rows.h"

namespace {

std::string nested(std::size_t depth, const std::string& open, const std::string& close)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i)
        text += open;
    text += "1";
    for (std::size_t i = 0; i < depth; ++i)
        text += close;
    return text;
}

struct NestingCase {
    std::string what;
    std::string text;
};

const NestingCase nestingCases[] = {
    { "objects beyond jsoncpp's limit", nested(1001, "{\"a\":", "}") },
    { "arrays in an object", "{\"a\":" + nested(1001, "[", "]") + "}" },
    { "200,000 objects", nested(200'000, "{\"a\":", "}") },
    { "200,000 unclosed arrays", "{\"a\":" + std::string(200'000, '[') },
};

// A row of the registry with one field replaced.
std::string serverRow(const std::string& field, const std::string& value)
{
    const std::pair<std::string, std::string> fields[] = {
        { "address", "\"127.0.0.1:80\"" },
        { "info", R"({"service":"s","zone":"a","slots":4,"version":"1"})" },
        { "status", R"({"state":"ready","warmup_left_ms":0,"sequence":1})" },
        { "born", "1" },
    };
    std::string text = "{";
    for (const auto& [name, usual] : fields)
        text += (text.size() > 1 ? ",\"" : "\"") + name + "\":" + (name == field ? value : usual);
    return text + "}";
}

struct RowCase {
    std::string field;
    std::string value;
};

const RowCase oddRows[] = {
    { "address", "\"127.0.0.1:65536\"" },
    { "address", "\"127.0.0.1:99999999999999999999\"" },
    { "address", "\"127.0.0.1:-1\"" },
    { "address", "\"" + std::string(70'000, '1') + ":80\"" },
    { "address", "80" },
    { "born", "1e400" },
    { "born", "99999999999999999999" },
    { "born", "1.5" },
    { "info", R"({"service":"s","zone":"a","slots":1e400,"version":"1"})" },
    { "info", R"({"service":"s","zone":"a","slots":4294967296,"version":"1"})" },
    { "info", nested(1001, "[", "]") },
    { "status", R"({"state":"ready","warmup_left_ms":1e400,"sequence":1})" },
    { "status", R"({"state":"ready","warmup_left_ms":-1,"sequence":1})" },
    { "status", "[]" },
};

}

// Guards against a process that ends by itself, as the library throws beyond its limit on nesting.
TEST_CASE("JSON that is nested too deeply is rejected like any malformed text")
{
    for (const auto& row : nestingCases) {
        CAPTURE(row.what);
        CHECK_NOTHROW(CHECK(!Common::parseJsonObject(row.text)));
        CHECK_NOTHROW(CHECK(!Common::parseJsonArray("[" + row.text + "]")));
        CHECK_NOTHROW(CHECK(!Gateway::parseUpdateRequest(row.text)));
        CHECK_NOTHROW(CHECK(!Gateway::parseUpdateResponse(row.text)));
        CHECK_NOTHROW(CHECK(!Gateway::parseRelayList(row.text, 1, 1)));
        CHECK_NOTHROW(CHECK(!Gateway::parseCrashReports(row.text)));
        CHECK_NOTHROW(CHECK(!PlatformAdapter::parseServer("key", row.text)));
        CHECK_NOTHROW(CHECK(!PlatformAdapter::parseConfiguration(row.text)));
    }
}

TEST_CASE("Odd values in a row of another writer make it malformed")
{
    REQUIRE(PlatformAdapter::parseServer("key", serverRow("", "")));
    for (const auto& row : oddRows) {
        CAPTURE(row.field);
        CAPTURE(row.value.substr(0, 100));
        CHECK_NOTHROW(CHECK(!PlatformAdapter::parseServer("key", serverRow(row.field, row.value))));
    }
}

TEST_CASE("A time that no duration can hold is bounded")
{
    for (auto ms : { 1e300, -1e300, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN() }) {
        CAPTURE(ms);
        CHECK(std::chrono::abs(Common::fromMilliseconds(ms)) <= std::chrono::hours(24 * 366 * 32));
    }
    CHECK(Common::fromMilliseconds(1.5) == std::chrono::microseconds(1500));
}

namespace {

struct SyntaxErrorCase {
    std::string what;
    std::string text;
    std::string error;
};

const SyntaxErrorCase syntaxErrors[] = {
    { "nothing", "", "expected a JSON object, found an error at line 1, column 1: Syntax error: value, object or array expected." },
    { "a list", "[1]", "expected a JSON object" },
    { "a missing comma", "{\"a\": 1\n \"b\": 2}", "expected a JSON object, found an error at line 2, column 2: Missing ',' or '}' in object declaration" },
    { "a missing value", "{\"a\": [1,\n2], \"b\":\n}", "expected a JSON object, found an error at line 3, column 1: Syntax error: value, object or array expected." },
    { "text after the object", "{}\n}", "expected a JSON object, found an error at line 2, column 1: Extra non-whitespace after JSON value." },
    { "a number that is none", "{\"keys\": [123secret456]}", "expected a JSON object, found an error at line 1, column 14: Missing ',' or ']' in array declaration" },
    { "digits that are no number", "{\"keys\": [9988e]}", "expected a JSON object, found an error at line 1, column 11: a value is not a number" },
    { "nested too deeply", std::string(2000, '['), "expected a JSON object, found an error: a value is nested too deeply" },
};

}

// Guards against API keys in logs, as the library quotes what it can't read.
TEST_CASE("An error in JSON is found by line and column, and its text holds nothing of the input")
{
    for (const auto& row : syntaxErrors) {
        CAPTURE(row.what);
        auto read = Common::readJsonObject(row.text);
        REQUIRE(!read);
        CHECK(read.error().text == row.error);
    }
    CHECK(Common::readJsonObject("{\"a\":1}").value()["a"] == 1);
}

TEST_CASE("A name that an object has twice is found")
{
    CHECK(Common::repeatedNamePlace(R"({"a":{"b":1},"b":1})").empty());
    CHECK(Common::repeatedNamePlace("{\"a\":{\"b\":1,\n\"b\":2}}") == "line 2, column 1");
}
