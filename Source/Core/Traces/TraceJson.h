#pragma once

#include <span>
#include <string>
#include <vector>

#include <json/json.h>

#include "Common/Clock.h"
#include "Decisions/ServerPool.h"

namespace Traces {

// One line of a trace: compact JSON. Times are nanoseconds of the recording entry's monotonic clock.
std::string toLine(const Json::Value&);
// Nothing for a line that is not a JSON object.
std::optional<Json::Value> fromLine(const std::string&);

Json::Value encodeOptions(const Decisions::PoolOptions&);
Decisions::PoolOptions decodeOptions(const Json::Value&);

Json::Value encodeServers(std::span<const Decisions::ServerSpec>);
std::vector<Decisions::ServerSpec> decodeServers(const Json::Value&);

Json::Value encodeReport(const Decisions::AttemptReport&);
Decisions::AttemptReport decodeReport(const Json::Value&);

Json::Value encodeHint(const Decisions::ServerHint&);
Decisions::ServerHint decodeHint(const Json::Value&);

Json::Value encodeStrings(std::span<const std::string>);
std::vector<std::string> decodeStrings(const Json::Value&);

}
