#include "Records/ServiceRecord.h"
#include "Targets.h"

namespace Fuzz {

// Invariant: parsing gives either a record with a service name or at least one error.
void runRecord(const std::string& input)
{
    std::vector<Common::FileError> errors;
    auto record = Records::parseServiceRecord(input, "input", errors);
    require(record.has_value() == errors.empty(), "record parsing must give either a record or errors");
    require(!record || !record->service.empty(), "valid record has an empty service name");
}

}
