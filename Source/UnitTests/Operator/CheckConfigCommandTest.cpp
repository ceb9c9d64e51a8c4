#include "Operator/CheckConfigCommand.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <json/json.h>

#include "Common/JsonText.h"
#include "Operator/ExitCode.h"
#include "platform/Rows.h"

namespace {

using Operator::ExitCode;

// A directory with the command's files, and what the command prints.
class Shell {
public:
    Shell()
    {
        auto path = (std::filesystem::temp_directory_path() / "check-config-XXXXXX").string();
        REQUIRE(mkdtemp(path.data()));
        m_directory = path;
    }
    ~Shell() { std::filesystem::remove_all(m_directory); }
    Shell(const Shell&) = delete;
    Shell& operator=(const Shell&) = delete;

    std::string write(const std::string& name, const std::string& text) const
    {
        auto path = (m_directory / name).string();
        std::ofstream(path, std::ios::binary) << text;
        return path;
    }
    std::string pathOf(const std::string& name) const { return (m_directory / name).string(); }

    int run(const Operator::CheckConfigArguments& arguments)
    {
        m_out.clear();
        return Operator::checkConfigCommand(arguments,
            { .read = PlatformAdapter::readConfiguration, .names = PlatformAdapter::configurationNames(), .seed = 7, .out = [this](const std::string& text) { m_out += text + "\n"; } });
    }

    // What was printed, without the directory.
    std::string out() const
    {
        auto text = m_out;
        auto directory = m_directory.string() + "/";
        for (auto i = text.find(directory); i != std::string::npos; i = text.find(directory))
            text.erase(i, directory.size());
        return text;
    }

private:
    std::filesystem::path m_directory;
    std::string m_out;
};

std::string exampleOf(const std::string& name)
{
    std::vector<Common::FileError> errors;
    return Common::readFile(std::string(DOCS_DIR) + "/examples/" + name, errors).value_or("");
}

struct Edit {
    std::string from;
    std::string to;
};

// The text after the edits, each of which must apply.
std::string edited(std::string text, const std::vector<Edit>& edits)
{
    for (const auto& edit : edits) {
        auto i = text.find(edit.from);
        REQUIRE(i != std::string::npos);
        text.replace(i, edit.from.size(), edit.to);
    }
    return text;
}

const Edit newer { "0000002a", "0000002b" };

struct TextCase {
    std::string what;
    std::vector<Edit> edits; // of the example, which is in force
    ExitCode code;
    std::string out;
};

const TextCase textCases[] = {
    { "only a newer version", { newer }, ExitCode::Ok, "new.json: version 0000002b, in force 0000002a, 0 errors, 0 warnings, 0 differences\n" },
    { "the same version", {}, ExitCode::InvalidFile,
        "new.json: error: version: 0000002a is not newer than the one in force, 0000002a\n"
        "new.json: version 0000002a, in force 0000002a, 1 error, 0 warnings, 0 differences\n" },
    { "an older version, with what would differ", { { "0000002a", "29" }, { "\"timeout_ms\": 2000", "\"timeout_ms\": 2500" } }, ExitCode::InvalidFile,
        "new.json: error: version: 00000029 is not newer than the one in force, 0000002a\n"
        "new.json: changed: routes.reports: timeout_ms: 2000 -> 2500\n"
        "new.json: version 00000029, in force 0000002a, 1 error, 0 warnings, 1 difference\n" },
    { "warnings and differences", { newer, { "\"timeout_ms\": 5000", "\"timeout_ms\": 500" }, { "\"orders\": { \"health", "\"order\": { \"health" }, { "example-key-of-large-2", "secret" } }, ExitCode::Ok,
        "new.json: warning: routes.orders: there is no services.orders: servers that register for it get the defaults\n"
        "new.json: warning: routes.orders: timeout_ms (500) is below target_latency_ms (1000)\n"
        "new.json: warning: services.order: no route uses it\n"
        "new.json: changed: routes.orders: timeout_ms: 5000 -> 500\n"
        "new.json: added: services.order\n"
        "new.json: removed: services.orders\n"
        "new.json: changed: tenants.large: api_keys: 2 keys, 1 of them removed -> 2 keys, 1 of them new\n"
        "new.json: version 0000002b, in force 0000002a, 0 errors, 3 warnings, 4 differences\n" },
    { "errors: no warnings or differences", { newer, { "\"timeout_ms\": 5000", "\"timeout_ms\": \"500\"" }, { "example-key-of-large-2", "example-key-of-small" }, { "\"rate_per_s\": 250", "\"rate_per_s\": -0.5" } }, ExitCode::InvalidFile,
        "new.json: error: routes.orders: timeout_ms must be a number from 0 to 1e12\n"
        "new.json: error: tenants.large: rate_per_s must be a number from 0 to 1e12\n"
        "new.json: error: tenants.small: API key 1 of 1 is listed twice, here and at 'large'\n"
        "new.json: in force 0000002a, 3 errors, 0 warnings\n" },
    { "a limit that is lifted by a rate of 0, its burst is left", { newer, { "\"rate_per_s\": 250", "\"rate_per_s\": 0" } }, ExitCode::Ok,
        "new.json: warning: tenants.large: burst (250) has no effect without a rate_per_s above 0: there is no limit\n"
        "new.json: changed: tenants.large: rate_per_s: 250 -> 0\n"
        "new.json: version 0000002b, in force 0000002a, 0 errors, 1 warning, 1 difference\n" },
    { "a fractional rate", { newer, { "\"rate_per_s\": 250", "\"rate_per_s\": 249.5" } }, ExitCode::Ok,
        "new.json: changed: tenants.large: rate_per_s: 250 -> 249.5\n"
        "new.json: version 0000002b, in force 0000002a, 0 errors, 0 warnings, 1 difference\n" },
    { "no JSON: line and column, no difference", { newer, { "\"timeout_ms\": 2000,", "\"timeout_ms\": 2000" } }, ExitCode::InvalidFile,
        "new.json: error: expected a JSON object, found an error at line 9, column 13: Missing ',' or '}' in object declaration\n"
        "new.json: in force 0000002a, 1 error, 0 warnings\n" },
    { "a name twice", { newer, { "\"small\"", "\"large\"" } }, ExitCode::Ok,
        "new.json: warning: an object has a name for the second time at line 46, column 9: gateways use the last one\n"
        "new.json: changed: tenants.large: priority: 1 -> absent\n"
        "new.json: changed: tenants.large: rate_per_s: 250 -> 0\n"
        "new.json: changed: tenants.large: burst: 250 -> 0\n"
        "new.json: changed: tenants.large: api_keys: 2 keys, 2 of them removed -> 1 key, 1 of them new\n"
        "new.json: removed: tenants.small\n"
        "new.json: version 0000002b, in force 0000002a, 0 errors, 1 warning, 2 differences\n" },
    { "control characters in a name", { newer, { "\"orders\": {", "\"or\\u001bders\": {" }, { "\"max_attempts\": 1", "\"max_attempts\": 2" } }, ExitCode::Ok,
        "new.json: warning: routes.or\\x1bders: max_attempts is 2, but requests of route_type unsafe are never repeated: further attempts are only for those that have certainly not run\n"
        "new.json: added: routes.or\\x1bders\n"
        "new.json: removed: routes.orders\n"
        "new.json: version 0000002b, in force 0000002a, 0 errors, 1 warning, 2 differences\n" },
};

struct FileCase {
    std::string what;
    std::vector<std::string> missing; // of "new.json", "old.json", "settings.toml"
    std::vector<Edit> settings; // of the example
    std::string old; // text of old.json
    ExitCode code;
    std::string out;
};

const FileCase fileCases[] = {
    { "all valid", {}, {}, exampleOf("configuration.json"), ExitCode::Ok, "new.json: version 0000002b, in force 0000002a, 0 errors, 0 warnings, 0 differences\n" },
    { "the configuration is missing", { "new.json" }, {}, exampleOf("configuration.json"), ExitCode::InvalidFile,
        "new.json: error: cannot be read\nnew.json: in force 0000002a, 1 error, 0 warnings\n" },
    { "the one in force is missing", { "old.json" }, {}, {}, ExitCode::InvalidFile,
        "old.json: error: cannot be read\nnew.json: version 0000002b, 1 error, 0 warnings\n" },
    { "the one in force is invalid", {}, {}, R"({"version":"1","routes":{},"services":{}})", ExitCode::InvalidFile,
        "old.json: error: missing field limits\nnew.json: version 0000002b, 1 error, 0 warnings\n" },
    { "the settings are missing", { "settings.toml" }, {}, exampleOf("configuration.json"), ExitCode::InvalidFile,
        "settings.toml: error: cannot be read\nnew.json: version 0000002b, in force 0000002a, 1 error, 0 warnings, 0 differences\n" },
    { "a syntax error in the settings", {}, { { "[gateway]", "[gateway" } }, exampleOf("configuration.json"), ExitCode::InvalidFile,
        "settings.toml: error: line 3: " },
    { "a shorter window in the settings", {}, { { "allowance_window_ms = 5000", "allowance_window_ms = 500" } }, exampleOf("configuration.json"), ExitCode::Ok,
        "new.json: warning: tenants.large: burst (250) is never refilled within a window: rate_per_s (250) gives 125 in 0.5 s\n"
        "new.json: version 0000002b, in force 0000002a, 0 errors, 1 warning, 0 differences\n" },
};

}

TEST_CASE("The example of a configuration has no findings")
{
    Shell shell;
    CHECK(shell.run({ .file = std::string(DOCS_DIR) + "/examples/configuration.json", .inForce = {}, .settings = std::string(DOCS_DIR) + "/examples/gateway.toml" }) == toInt(ExitCode::Ok));
    CHECK(shell.out().ends_with("configuration.json: version 0000002a, 0 errors, 0 warnings\n"));
}

TEST_CASE("A configuration's findings and differences are printed as text, with the exit code of the worst")
{
    for (const auto& row : textCases) {
        CAPTURE(row.what);
        Shell shell;
        auto example = exampleOf("configuration.json");
        auto code = shell.run({ .file = shell.write("new.json", edited(example, row.edits)), .inForce = shell.write("old.json", example), .settings = {} });
        CHECK(code == toInt(row.code));
        CHECK(shell.out() == row.out);
    }
}

TEST_CASE("A file that can't be used is an error, and what does not depend on it is checked all the same")
{
    for (const auto& row : fileCases) {
        CAPTURE(row.what);
        Shell shell;
        shell.write("new.json", edited(exampleOf("configuration.json"), { newer }));
        shell.write("old.json", row.old);
        shell.write("settings.toml", edited(exampleOf("gateway.toml"), row.settings));
        for (const auto& name : row.missing)
            std::filesystem::remove(shell.pathOf(name));
        auto code = shell.run({ .file = shell.pathOf("new.json"), .inForce = shell.pathOf("old.json"), .settings = shell.pathOf("settings.toml") });
        CHECK(code == toInt(row.code));
        CHECK(shell.out().starts_with(row.out));
    }
}

TEST_CASE("JSON output is one line that holds all findings and differences")
{
    Shell shell;
    auto example = exampleOf("configuration.json");
    auto changed = edited(example, { { "0000002a", "29" }, { "\"timeout_ms\": 5000", "\"timeout_ms\": 500" }, { "\"small\"", "\"tiny\"" } });
    auto code = shell.run({ .file = shell.write("new.json", changed), .inForce = shell.write("old.json", example), .settings = {}, .json = true });
    CHECK(code == toInt(ExitCode::InvalidFile));
    auto json = Common::parseJsonObject(shell.out());
    REQUIRE(json);
    CHECK(Common::jsonText(*json) + "\n" == shell.out());
    CHECK((*json)["file"] == "new.json");
    CHECK(!(*json)["valid"].asBool());
    CHECK((*json)["version"] == "00000029");
    CHECK((*json)["in_force"] == "0000002a");
    const auto& findings = (*json)["findings"];
    REQUIRE(findings.size() == 2);
    CHECK(Common::jsonText(findings[0]) == R"json({"entry":"routes.orders","file":"new.json","level":"warning","text":"timeout_ms (500) is below target_latency_ms (1000)"})json");
    CHECK(Common::jsonText(findings[1]) == R"({"entry":"version","file":"new.json","level":"error","text":"00000029 is not newer than the one in force, 0000002a"})");
    const auto& differences = (*json)["differences"];
    REQUIRE(differences.size() == 3);
    CHECK(Common::jsonText(differences[0]) == R"({"change":"changed","entry":"routes.orders","fields":[{"field":"timeout_ms","new":"500","old":"5000"}]})");
    CHECK(Common::jsonText(differences[1]) == R"({"change":"removed","entry":"tenants.small","fields":[{"field":"priority","new":null,"old":null},{"field":"rate_per_s","new":null,"old":"0"},{"field":"burst","new":null,"old":"0"},{"field":"api_keys","new":null,"old":"1 key"}]})");
    CHECK(differences[2]["change"] == "added");
    CHECK(differences[2]["fields"][3]["new"] == "1 key");
}

TEST_CASE("JSON output of a file that can't be read has no versions and no differences")
{
    Shell shell;
    CHECK(shell.run({ .file = shell.write("new.json", "{"), .inForce = {}, .settings = {}, .json = true }) == toInt(ExitCode::InvalidFile));
    CHECK(shell.out() == R"({"differences":[],"file":"new.json","findings":[{"entry":"","file":"new.json","level":"error","text":"expected a JSON object, found an error at line 1, column 2: Missing '}' or object member name"}],"in_force":null,"valid":false,"version":null})"
                         "\n");
}

// Guards against keys on an operator's screen or in a log of what was deployed.
TEST_CASE("API keys are never printed, whatever is wrong with a configuration")
{
    const std::string key = "example-key-of-large-2";
    const std::vector<Edit> edits[] = {
        { { key, "example-key-of-large-1" } }, // twice
        { { key, key + " blank" } },
        { { "\"" + key + "\"", "\"" + key + "\"," } }, // a comma too many, or a missing value
        { { "\"" + key + "\"", key } },
        { { "\"" + key + "\"", "\"" + key } },
        { { "[\"example-key-of-large-1\", \"" + key + "\"]", "\"" + key + "\"" } },
        { { "[\"example-key-of-large-1\", \"" + key + "\"]", "{\"" + key + "\": 1, \"" + key + "\": 2}" } },
        { { "\"api_keys\"", "\"api_key\"" } },
        { { "\"large\": {", "\"large\": { \"api_keys\": [\"" + key + "\"]," } },
    };
    for (const auto& list : edits) {
        CAPTURE(list.front().to);
        for (auto json : { false, true }) {
            Shell shell;
            auto example = exampleOf("configuration.json");
            auto path = shell.write("new.json", edited(edited(example, { newer }), list));
            shell.run({ .file = path, .inForce = shell.write("old.json", example), .settings = {}, .json = json });
            CHECK(shell.out().find("example-key") == std::string::npos);
            shell.run({ .file = shell.write("newest.json", edited(example, { { "0000002a", "0000002c" } })), .inForce = path, .settings = {}, .json = json });
            CHECK(shell.out().find("example-key") == std::string::npos);
        }
    }
}
