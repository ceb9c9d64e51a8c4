#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <json/json.h>

namespace Common {

// Serializes to JSON on one line, without white space.
std::string jsonText(const Json::Value&);
// The same, but strings keep their bytes where they are not UTF-8.
std::string jsonBytes(const Json::Value&);

// Parses a text that is exactly one JSON object, without comments or trailing data; nullopt otherwise.
std::optional<Json::Value> parseJsonObject(std::string_view);
// The same for a JSON array.
std::optional<Json::Value> parseJsonArray(std::string_view);

}
