#include "Common/JsonText.h"

#include <memory>

namespace Common {

namespace {

    std::optional<Json::Value> parseJson(std::string_view text)
    {
        Json::CharReaderBuilder builder;
        builder["collectComments"] = false;
        builder["allowComments"] = false;
        builder["failIfExtra"] = true;
        std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        Json::Value json;
        std::string error;
        try {
            if (!reader->parse(text.data(), text.data() + text.size(), &json, &error))
                return std::nullopt;
        } catch (const Json::Exception&) {
            return std::nullopt; // nested beyond the library's limit, which it reports only so
        }
        return json;
    }

}

std::string jsonText(const Json::Value& json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

std::string jsonBytes(const Json::Value& json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true; // else the library replaces what is no UTF-8 by U+FFFD
    return Json::writeString(builder, json);
}

std::optional<Json::Value> parseJsonObject(std::string_view text)
{
    auto json = parseJson(text);
    if (json && !json->isObject())
        json.reset();
    return json;
}

std::optional<Json::Value> parseJsonArray(std::string_view text)
{
    auto json = parseJson(text);
    if (json && !json->isArray())
        json.reset();
    return json;
}

}
