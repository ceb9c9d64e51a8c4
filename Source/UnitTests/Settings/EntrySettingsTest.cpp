#include "Settings/EntrySettings.h"

#include <doctest/doctest.h>

namespace {

constexpr auto validText = R"([entry]
address = "127.0.0.1:8080"
peer_address = "127.0.0.1:8081"
failure_domain = "a"
shared_key = "0123456789abcdef"
[platform]
address = "127.0.0.1:9000"
)";

struct BadCase {
    const char* name;
    const char* extra; // appended to the valid text
    int line;
    const char* key;
    const char* text;
};

const BadCase badCases[] = {
    { "unknown key", "speed = 3\n", 8, "platform.speed", "unknown key" },
    { "unknown table", "[other]\n", 8, "other", "unknown key" },
    { "wrong type", "[log]\nformat = 3\n", 9, "log.format", "expected a string" },
    { "unknown name", "[log]\nformat = \"xml\"\n", 9, "log.format", "expected one of text, json, off" },
    { "out of range", "[limits]\nconnections = 0\n", 9, "limits.connections", "0 is out of range, expected 1 to 65536" },
    { "syntax error", "[limits\n", 8, "", "" },
};

}

TEST_CASE("valid settings are read")
{
    std::vector<Common::FileError> errors;
    auto settings = Settings::parseEntrySettings(validText, "entry.toml", errors);
    REQUIRE(settings.has_value());
    CHECK(errors.empty());
    CHECK(settings->address == "127.0.0.1:8080");
    CHECK(settings->failureDomain == "a");
    CHECK(settings->limits.connections == Settings::CallerLimits {}.connections);
}

TEST_CASE("each error in the settings is reported with its line and key")
{
    for (const auto& bad : badCases) {
        CAPTURE(bad.name);
        std::vector<Common::FileError> errors;
        CHECK_FALSE(Settings::parseEntrySettings(std::string(validText) + bad.extra, "entry.toml", errors).has_value());
        REQUIRE(!errors.empty());
        CHECK(errors.front().file == "entry.toml");
        CHECK(errors.front().line == bad.line);
        CHECK(errors.front().key == bad.key);
        if (*bad.text)
            CHECK(errors.front().text == bad.text);
    }
}

TEST_CASE("all missing settings are reported at once")
{
    std::vector<Common::FileError> errors;
    CHECK_FALSE(Settings::parseEntrySettings("", "entry.toml", errors).has_value());
    CHECK(errors.size() == 5);
}

TEST_CASE("the example settings file of the documentation is valid and states the defaults")
{
    std::vector<Common::FileError> errors;
    std::string path = std::string(DOCS_DIR) + "/examples/entry.toml";
    auto text = Common::readFile(path, errors);
    REQUIRE(text.has_value());
    auto settings = Settings::parseEntrySettings(*text, path, errors);
    REQUIRE(settings.has_value());
    Settings::EntrySettings defaults;
    CHECK(settings->defaultDeadlineMs == defaults.defaultDeadlineMs);
    CHECK(settings->directoryTtlMs == defaults.directoryTtlMs);
    CHECK(settings->shutdownLimitMs == defaults.shutdownLimitMs);
    CHECK(settings->logFormat == defaults.logFormat);
    CHECK(settings->limits.connections == defaults.limits.connections);
    CHECK(settings->limits.headBytes == defaults.limits.headBytes);
    CHECK(settings->limits.bodyBytes == defaults.limits.bodyBytes);
    CHECK(settings->limits.answerBytes == defaults.limits.answerBytes);
    CHECK(settings->limits.headTimeoutMs == defaults.limits.headTimeoutMs);
    CHECK(settings->limits.idleTimeoutMs == defaults.limits.idleTimeoutMs);
}
