#include <fstream>
#include <set>
#include <sstream>

#include <doctest/doctest.h>

#include "Common/EventLog.h"
#include "Common/Result.h"
#include "Common/Tables.h"

namespace {

std::string readPage(const std::string& name)
{
    std::ifstream in(std::string(DOCS_DIR) + "/" + name);
    std::ostringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

}

TEST_CASE("docs/RESULT-CODES.md and docs/EVENTS.md match the tables in the code")
{
    // Regenerate both files with `cowslipledge-bench tables docs`.
    CHECK(readPage("RESULT-CODES.md") == Common::resultCodesPage());
    CHECK(readPage("EVENTS.md") == Common::eventsPage());
}

TEST_CASE("numbers and names of result codes and events are unique")
{
    std::set<int> numbers;
    std::set<std::string_view> names;
    for (const auto& row : Common::resultTable()) {
        CHECK(numbers.insert(static_cast<int>(row.code)).second);
        CHECK(names.insert(row.name).second);
    }
    for (const auto& row : Common::eventTable()) {
        CHECK(numbers.insert(static_cast<int>(row.id)).second);
        CHECK(names.insert(row.name).second);
    }
}
