#include "Common/Tables.h"

#include <fmt/format.h>

#include "Common/EventLog.h"
#include "Common/Result.h"

namespace Common {

std::string resultCodesPage()
{
    std::string page = "# Result codes\n\n"
                       "Callers find the number in the `Cowslipledge-Result` header and in the JSON body of an error; operators in the\n"
                       "messages of the commands. `-` marks codes that are never sent to a caller. Made by `cowslipledge-bench tables`.\n\n"
                       "| code | name | HTTP status | outcome | meaning |\n|---|---|---|---|---|\n";
    for (const auto& row : resultTable()) {
        auto sent = row.httpStatus != 0;
        page += fmt::format("| {} | {} | {} | {} | {} |\n", static_cast<int>(row.code), row.name, sent ? std::to_string(row.httpStatus) : "-",
            sent ? outcomeName(row.outcome) : "-", row.meaning);
    }
    return page;
}

std::string eventsPage()
{
    std::string page = "# Events\n\n"
                       "One line each on standard error (an entry) or standard output (a gateway), and in the time line; an entry tells events\n"
                       "of single calls (2000 to 2999) only there. Made by `cowslipledge-bench tables`.\n\n"
                       "| event | name | severity | meaning |\n|---|---|---|---|\n";
    for (const auto& row : eventTable())
        page += fmt::format("| {} | {} | {} | {} |\n", static_cast<int>(row.id), row.name, severityName(row.severity), row.meaning);
    return page;
}

}
