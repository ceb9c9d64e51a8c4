#include "Records/ServiceRecord.h"

#include <doctest/doctest.h>

#include "Records/RecordForms.h"

namespace {

std::string exampleText(int schema)
{
    std::vector<Common::FileError> errors;
    return Common::readFile(std::string(DOCS_DIR) + "/examples/puzzle.schema" + std::to_string(schema) + ".toml", errors).value_or("");
}

struct BadCase {
    const char* text; // after the first two lines
    int schema;
    int line;
    const char* key;
    const char* error;
};

const BadCase badCases[] = {
    { "[probe]\nbudget = 1\n", 1, 4, "probe", "unknown key" },
    { "probe_budget = 1\n", 2, 4, "probe_budget", "unknown key" },
    { "[limits]\nslots = 0\n", 2, 5, "limits.slots", "0 is out of range, expected 1 to 10000" },
    { "[limits]\nretry_share = 1.5\n", 2, 5, "limits.retry_share", "1.5 is out of range, expected 0 to 1" },
    { "[probe]\ngoal = \"fast\"\n", 2, 5, "probe.goal", "expected one of latency, probe-cost" },
    { "[probe]\nrate = 1\n", 2, 5, "probe.rate", "unknown key" },
    { "probe = 1\n", 2, 4, "probe", "expected a table" },
    { "[[rules]]\nmethod = \"GET\"\nhedge = true\n", 2, 6, "rules[0].hedge", "unknown key" },
    { "[[rules]]\nmethod = \"POST\"\nhedge_quantile = 0.9\n", 2, 6, "rules[0].hedge_quantile", "a request that may not be repeated cannot be hedged" },
    { "[[rules]]\nmethod = \"POST\"\nhedge = true\n", 1, 6, "rules[0].hedge", "a request that may not be repeated cannot be hedged" },
    { "servers = [\"127.0.0.1:1\"]\n", 1, 4, "servers", "expected either a pool or a list of servers" },
};

std::string textOf(const BadCase& bad)
{
    return "schema = " + std::to_string(bad.schema) + "\nservice = \"puzzle\"\npool = \"puzzle\"\n" + bad.text;
}

struct ChoiceCase {
    const char* what;
    std::vector<std::string> forms;
    int newestUnderstood;
    int schema; // 0: none
    bool understood;
};

}

TEST_CASE("the operators' example files of both schemas describe the same service")
{
    std::vector<Common::FileError> errors;
    auto first = Records::parseServiceRecord(exampleText(1), "1", errors);
    auto second = Records::parseServiceRecord(exampleText(2), "2", errors);
    REQUIRE(errors.empty());
    CHECK(first->schema == 1);
    CHECK(second->schema == 2);
    CHECK(first->service == second->service);
    CHECK(first->slots == second->slots);
    CHECK(first->connections == second->connections);
    CHECK(first->probeBudget == second->probeBudget);
    CHECK(first->limits.retryShare == second->limits.retryShare);
    REQUIRE(first->rules.size() == second->rules.size());
    for (std::size_t i = 0; i < first->rules.size(); ++i) {
        CHECK(first->rules[i].hedge == second->rules[i].hedge);
        CHECK(first->rules[i].hedgeQuantile == second->rules[i].hedgeQuantile);
        CHECK(first->rules[i].repeat == second->rules[i].repeat);
        CHECK(first->rules[i].claim == second->rules[i].claim);
        CHECK(first->rules[i].deadlineMs == second->rules[i].deadlineMs);
    }
}

TEST_CASE("every mistake in a record is located")
{
    for (const auto& bad : badCases) {
        CAPTURE(bad.text);
        std::vector<Common::FileError> errors;
        CHECK_FALSE(Records::parseServiceRecord(textOf(bad), "r.toml", errors).has_value());
        REQUIRE(errors.size() == 1);
        CHECK(errors[0].line == bad.line);
        CHECK(errors[0].key == bad.key);
        CHECK(errors[0].text == bad.error);
    }
}

TEST_CASE("an entry takes the newest form it understands")
{
    const std::string future = "schema = 9\nservice = \"puzzle\"\nshape = \"round\"\n";
    const std::string broken = "schema = 2\nservice = \"puzzle\"\n";
    const ChoiceCase cases[] = {
        { "both known", { exampleText(1), exampleText(2) }, 2, 2, true },
        { "an old entry", { exampleText(1), exampleText(2) }, 1, 1, true },
        { "a newer form beside", { future, exampleText(1) }, 2, 1, true },
        { "only a newer form", { future }, 2, 0, false },
        { "no form", {}, 2, 0, false },
        { "known schema with errors", { broken }, 2, 0, true },
    };
    for (const auto& row : cases) {
        CAPTURE(row.what);
        auto choice = Records::chooseForm(row.forms, "puzzle", row.newestUnderstood);
        CHECK(choice.understood == row.understood);
        CHECK((choice.record ? choice.record->schema : 0) == row.schema);
    }
    CHECK_FALSE(Records::chooseForm({ exampleText(1) }, "prize", 2).record.has_value());
}

TEST_CASE("forms of one record name one service and differ in schema")
{
    std::vector<Common::FileError> errors;
    CHECK(Records::checkForms({ { "a", exampleText(1) }, { "b", exampleText(2) } }, errors) == "puzzle");
    CHECK_FALSE(Records::checkForms({ { "a", exampleText(1) }, { "b", exampleText(1) } }, errors).has_value());
    CHECK(errors.back().key == "schema");
    CHECK_FALSE(Records::checkForms({ { "a", exampleText(1) }, { "b", "schema = 2\nservice = \"prize\"\npool = \"p\"\n" } }, errors).has_value());
    CHECK(errors.back().key == "service");
}
