#include "Records/RecordChange.h"

#include <memory>

#include <json/json.h>

#include "Common/JsonText.h"

namespace Records {

namespace {

    Json::Value toJson(const RecordChange& change)
    {
        Json::Value json;
        json["revision"] = Json::UInt64(change.revision);
        json["previous"] = Json::UInt64(change.previous);
        json["kind"] = std::string(Common::nameOf(changeKindNames, change.kind));
        json["service"] = change.service;
        json["by"] = change.by;
        json["nonce"] = change.nonce;
        json["wall_ms"] = Json::Int64(change.wallMs);
        json["forms"] = Json::arrayValue;
        for (const auto& form : change.forms)
            json["forms"].append(form);
        return json;
    }

    // Strings must be strings: jsoncpp would make "7" of a number.
    std::string stringOf(const Json::Value& json)
    {
        if (!json.isString())
            throw Json::LogicError("expected a string");
        return json.asString();
    }

    RecordChange toChange(const Json::Value& json)
    {
        auto kind = Common::valueOf(changeKindNames, stringOf(json["kind"]));
        if (!kind)
            throw Json::LogicError("unknown kind of change");
        RecordChange change {
            .revision = json["revision"].asUInt64(),
            .previous = json["previous"].asUInt64(),
            .kind = *kind,
            .service = stringOf(json["service"]),
            .by = stringOf(json["by"]),
            .nonce = stringOf(json["nonce"]),
            .wallMs = json["wall_ms"].asInt64(),
            .forms = {},
        };
        if (change.revision == 0 || change.previous >= change.revision || change.service.empty())
            throw Json::LogicError("impossible revisions or no service");
        for (const auto& form : json["forms"])
            change.forms.push_back(stringOf(form));
        return change;
    }

    Json::Value toJson(const RecordImage& image)
    {
        Json::Value json;
        json["revision"] = Json::UInt64(image.revision);
        json["records"] = Json::arrayValue;
        for (const auto& record : image.records)
            json["records"].append(toJson(record));
        return json;
    }

    std::vector<RecordChange> toChanges(const Json::Value& json)
    {
        if (!json.isArray())
            throw Json::LogicError("expected an array of changes");
        std::vector<RecordChange> changes;
        for (const auto& item : json)
            changes.push_back(toChange(item));
        return changes;
    }

    RecordImage toImage(const Json::Value& json)
    {
        if (!json["revision"].isUInt64())
            throw Json::LogicError("expected a revision");
        return { .revision = json["revision"].asUInt64(), .records = toChanges(json["records"]), .unreadable = {} };
    }

    std::string toText(const Json::Value& json)
    {
        return Common::jsonText(json);
    }

    template <typename Read>
    auto decode(const std::string& text, Read read) -> std::optional<decltype(read(Json::Value()))>
    {
        Json::Value json;
        std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
        try {
            if (!reader->parse(text.data(), text.data() + text.size(), &json, nullptr) || !json.isObject())
                return std::nullopt;
            return read(json);
        } catch (const Json::Exception&) {
            return std::nullopt;
        }
    }

}

std::string encodeChange(const RecordChange& change)
{
    return toText(toJson(change));
}

std::optional<RecordChange> decodeChange(const std::string& text)
{
    return decode(text, [](const Json::Value& json) { return toChange(json); });
}

std::string encodeImage(const RecordImage& image)
{
    return toText(toJson(image));
}

std::optional<RecordImage> decodeImage(const std::string& text)
{
    return decode(text, [](const Json::Value& json) { return toImage(json); });
}

std::string encodeUpdate(const RecordUpdate& update)
{
    Json::Value json;
    json["since"] = Json::UInt64(update.since);
    json["changes"] = Json::arrayValue;
    for (const auto& change : update.changes)
        json["changes"].append(toJson(change));
    if (update.image)
        json["image"] = toJson(*update.image);
    return toText(json);
}

std::optional<RecordUpdate> decodeUpdate(const std::string& text)
{
    return decode(text, [](const Json::Value& json) {
        RecordUpdate update { .since = json["since"].asUInt64(), .changes = toChanges(json["changes"]), .image = {} };
        if (json.isMember("image"))
            update.image = toImage(json["image"]);
        return update;
    });
}

}
