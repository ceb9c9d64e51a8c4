#include "Common/JsonText.h"

#include <memory>

namespace Common {

std::string jsonText(const Json::Value& json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

std::optional<Json::Value> parseJsonObject(std::string_view text)
{
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["allowComments"] = false;
    builder["failIfExtra"] = true;
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value json;
    std::string error;
    if (!reader->parse(text.data(), text.data() + text.size(), &json, &error) || !json.isObject())
        return std::nullopt;
    return json;
}

}
