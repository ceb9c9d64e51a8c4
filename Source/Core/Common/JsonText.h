#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <json/json.h>

#include "Common/Result.h"

namespace Common {

// Serializes to JSON on one line, without white space.
std::string jsonText(const Json::Value&);
// The same, but strings keep their bytes where they are not UTF-8.
std::string jsonBytes(const Json::Value&);

// Parses a text that is exactly one JSON object, without comments or trailing data; nullopt otherwise.
std::optional<Json::Value> parseJsonObject(std::string_view);
// The same, with what is wrong and where: "line 3, column 7: …". The text holds nothing of the input, which may be secret.
Result<Json::Value> readJsonObject(std::string_view);
// Where an object of a valid text has a name for the second time, "line 3, column 7"; empty if none has. Readers use the last one.
std::string repeatedNamePlace(std::string_view);
// As parseJsonObject() for a JSON array.
std::optional<Json::Value> parseJsonArray(std::string_view);

}
