#pragma once

#include <string>

#include <json/json.h>

namespace Common {

// JSON on one line, without white space.
std::string jsonText(const Json::Value&);

}
