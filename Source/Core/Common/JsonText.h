#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <json/json.h>

namespace Common {

// JSON on one line, without white space.
std::string jsonText(const Json::Value&);

// A whole text as one JSON object, without comments or anything behind it; nothing where it is not one.
std::optional<Json::Value> parseJsonObject(std::string_view);
// The same for an array.
std::optional<Json::Value> parseJsonArray(std::string_view);

}
