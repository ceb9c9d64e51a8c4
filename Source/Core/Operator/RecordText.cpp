#include "Operator/RecordText.h"

#include <ctime>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "Common/JsonText.h"

namespace Operator {

std::string timeText(std::int64_t wallMs)
{
    constexpr std::int64_t msPerSecond = 1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(static_cast<std::time_t>(wallMs / msPerSecond)));
}

std::string formsText(const Records::RecordChange& change)
{
    std::string text;
    for (const auto& form : change.forms) {
        if (!text.empty())
            text += "\n# ---- next form ----\n";
        text += form;
        if (!form.ends_with('\n'))
            text += "\n";
    }
    return text;
}

std::string changeText(const Records::RecordChange& change)
{
    return fmt::format("revision {} ({} by {} at {})", change.revision, Common::nameOf(Records::changeKindNames, change.kind), change.by, timeText(change.wallMs));
}

Json::Value changeJson(const Records::RecordChange& change)
{
    Json::Value json;
    json["service"] = change.service;
    json["revision"] = Json::UInt64(change.revision);
    json["previous"] = Json::UInt64(change.previous);
    json["kind"] = std::string(Common::nameOf(Records::changeKindNames, change.kind));
    json["by"] = change.by;
    json["time_ms"] = Json::Int64(change.wallMs);
    json["forms"] = Json::arrayValue;
    for (const auto& form : change.forms)
        json["forms"].append(form);
    return json;
}

std::string lineOf(const Json::Value& json)
{
    return Common::jsonText(json);
}

}
