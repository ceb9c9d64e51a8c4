#include "Common/JsonText.h"

namespace Common {

std::string jsonText(const Json::Value& json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

}
