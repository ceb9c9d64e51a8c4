#include "Entry/StatusPage.h"

#include <json/json.h>

#include "Common/JsonText.h"

namespace Entry {

std::string statusPage(const Records::RecordSet& records, bool ready)
{
    Json::Value json;
    json["revision"] = Json::UInt64(records.revision);
    json["ready"] = ready;
    json["services"] = Json::arrayValue;
    for (const auto& [service, record] : records.services)
        json["services"].append(service);
    json["not_understood"] = Json::arrayValue;
    for (const auto& service : records.notUnderstood)
        json["not_understood"].append(service);
    return Common::jsonText(json);
}

}
