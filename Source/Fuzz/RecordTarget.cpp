#include "Records/ServiceRecord.h"
#include "Targets.h"

namespace Fuzz {

// A record file is either valid and named, or every mistake is told.
void runRecord(const std::string& input)
{
    std::vector<Common::FileError> errors;
    auto record = Records::parseServiceRecord(input, "input", errors);
    require(record.has_value() == errors.empty(), "a record without a value has errors, and only then");
    require(!record || !record->service.empty(), "a valid record names its service");
}

}
