#pragma once

#include <cstdint>
#include <string>

#include <json/json.h>

#include "Records/RecordChange.h"

namespace Operator {

// "2026-12-03T22:59:10Z"
std::string timeText(std::int64_t wallMs);
// All forms of a record as one text, to compare and show; a line before each but the first.
std::string formsText(const Records::RecordChange&);
// "revision 12 (replace by ana at 2026-12-03T22:59:10Z)"
std::string changeText(const Records::RecordChange&);
Json::Value changeJson(const Records::RecordChange&);
std::string lineOf(const Json::Value&);

}
