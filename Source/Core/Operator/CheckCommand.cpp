#include "Operator/CheckCommand.h"

#include <fmt/format.h>

#include "Operator/ExitCode.h"
#include "Records/ServiceRecord.h"
#include "Settings/EntrySettings.h"
#include "Settings/GatewaySettings.h"

namespace Operator {

namespace {

    void checkText(const std::string& text, const std::string& path, std::vector<Common::FileError>& errors)
    {
        auto table = Common::parseToml(text, path, errors);
        if (!table)
            return;
        if (table->contains("entry"))
            Settings::parseEntrySettings(text, path, errors);
        else if (table->contains("gateway"))
            Settings::parseGatewaySettings(text, path, errors);
        else
            Records::parseServiceRecord(text, path, errors);
    }

}

int checkCommand(const std::string& path)
{
    std::vector<Common::FileError> errors;
    if (auto text = Common::readFile(path, errors))
        checkText(*text, path, errors);
    for (const auto& error : errors)
        fmt::print(stderr, "{}\n", Common::describe(error));
    if (!errors.empty())
        return toInt(ExitCode::InvalidFile);
    fmt::print("{}: valid\n", path);
    return toInt(ExitCode::Ok);
}

}
