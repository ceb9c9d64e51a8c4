#include "Settings/EntrySettings.h"
#include "Targets.h"

namespace Fuzz {

void runSettings(const std::string& input)
{
    std::vector<Common::FileError> errors;
    auto settings = Settings::parseEntrySettings(input, "input", errors);
    require(settings.has_value() == errors.empty(), "settings without a value have errors, and only then");
    require(!settings || !settings->address.empty(), "valid settings state an address");
}

}
