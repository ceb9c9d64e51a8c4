#include "Settings/EntrySettings.h"
#include "Targets.h"

namespace Fuzz {

void runSettings(const std::string& input)
{
    std::vector<Common::FileError> errors;
    auto settings = Settings::parseEntrySettings(input, "input", errors);
    require(settings.has_value() == errors.empty(), "settings parsing must give either settings or errors");
    require(!settings || !settings->address.empty(), "valid settings have an empty address");
}

}
