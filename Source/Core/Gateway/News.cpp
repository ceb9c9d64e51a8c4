#include "Gateway/News.h"

#include <json/json.h>

#include "Common/JsonText.h"
#include "Net/Deflate.h"

namespace Gateway {

namespace {

    // Shorter rows gain nothing.
    constexpr std::size_t deflateFrom = 1024;
    // Of 19,000 servers, the size to design for, with some reserve.
    constexpr std::size_t maxRowsBytes = 32 * 1024 * 1024;

    Common::Error malformed(const std::string& what)
    {
        return { .code = Common::ResultCode::PeerRefused, .text = what };
    }

    // An array instead of an object: a list of members is sent often.
    Json::Value toJson(const Member& member)
    {
        Json::Value json(Json::arrayValue);
        json.append(member.control);
        json.append(member.callers);
        json.append(member.failureDomain);
        json.append(Json::Int64(member.startedMs));
        json.append(member.capacity);
        json.append(member.serving ? 1 : 0);
        return json;
    }

    Member toMember(const Json::Value& json)
    {
        Json::ArrayIndex i = 0;
        Member member;
        member.control = json[i++].asString();
        member.callers = json[i++].asString();
        member.failureDomain = json[i++].asString();
        member.startedMs = json[i++].asInt64();
        member.capacity = json[i++].asDouble();
        member.serving = json[i++].asInt() != 0;
        return member;
    }

    Json::Value toJson(const std::vector<std::string>& list)
    {
        Json::Value json(Json::arrayValue);
        for (const auto& text : list)
            json.append(text);
        return json;
    }

    std::vector<std::string> toStrings(const Json::Value& json)
    {
        std::vector<std::string> list;
        for (const auto& item : json)
            list.push_back(item.asString());
        return list;
    }

    Json::Value toJson(const Platform::TableRow& row)
    {
        Json::Value json;
        json["table"] = row.table;
        json["key"] = row.key;
        if (row.value)
            json["value"] = *row.value;
        json["version"] = Json::UInt64(row.version);
        return json;
    }

    Platform::TableRow toRow(const Json::Value& json)
    {
        Platform::TableRow row { .table = json["table"].asString(), .key = json["key"].asString(), .value = {}, .version = json["version"].asUInt64() };
        if (json.isMember("value"))
            row.value = json["value"].asString();
        return row;
    }

    // The library throws where a value has another type than it is asked for.
    template <typename Read>
    auto readTyped(const std::string& text, Read read) -> Common::Result<decltype(read(Json::Value()))>
    {
        auto json = Common::parseJsonObject(text);
        if (!json)
            return malformed("not a JSON object");
        try {
            return read(*json);
        } catch (const Json::Exception& ec) {
            return malformed(ec.what());
        }
    }

}

std::string toText(const NewsRequest& request)
{
    Json::Value json;
    json["member"] = toJson(request.member);
    json["registry"] = Json::UInt64(request.position.registry);
    json["operators"] = Json::UInt64(request.position.operators);
    json["listed_by"] = request.listedBy;
    json["members_revision"] = Json::UInt64(request.membersRevision);
    json["wait_ms"] = Common::toMilliseconds(request.wait);
    json["roster"] = toJson(request.roster.relays);
    json["roster_version"] = Json::UInt64(request.roster.version);
    return Common::jsonText(json);
}

EncodedRows encodeRows(const std::vector<Platform::TableRow>& rows)
{
    Json::Value json(Json::arrayValue);
    for (const auto& row : rows)
        json.append(toJson(row));
    EncodedRows encoded { .bytes = Common::jsonText(json), .isDeflated = false };
    if (encoded.bytes.size() >= deflateFrom)
        encoded = { .bytes = Net::deflated(encoded.bytes), .isDeflated = true };
    return encoded;
}

std::string toText(const NewsAnswer& answer, const EncodedRows& rows)
{
    Json::Value json;
    json["relays"] = answer.relays;
    json["roster"] = toJson(answer.roster.relays);
    json["roster_version"] = Json::UInt64(answer.roster.version);
    if (answer.relays) {
        json["whole"] = answer.update.whole;
        json["registry"] = Json::UInt64(answer.update.position.registry);
        json["operators"] = Json::UInt64(answer.update.position.operators);
        json["age_ms"] = Common::toMilliseconds(answer.update.age);
        json["rows_deflated"] = rows.isDeflated;
        json["members_whole"] = answer.members.whole;
        json["members_revision"] = Json::UInt64(answer.members.revision);
        json["members_total"] = answer.members.total;
        json["members"] = Json::Value(Json::arrayValue);
        for (const auto& member : answer.members.members)
            json["members"].append(toJson(member));
        json["gone"] = toJson(answer.members.gone);
    }
    // JSON on one line has no line break of its own.
    return Common::jsonText(json) + "\n" + (answer.relays ? rows.bytes : std::string());
}

Common::Result<NewsRequest> parseNewsRequest(const std::string& text)
{
    return readTyped(text, [](const Json::Value& json) {
        return NewsRequest {
            .member = toMember(json["member"]),
            .position = { .registry = json["registry"].asUInt64(), .operators = json["operators"].asUInt64() },
            .listedBy = json["listed_by"].asString(),
            .membersRevision = json["members_revision"].asUInt64(),
            .wait = Common::fromMilliseconds(json["wait_ms"].asDouble()),
            .roster = { .relays = toStrings(json["roster"]), .version = json["roster_version"].asUInt64() },
        };
    });
}

Common::Result<NewsAnswer> parseNewsAnswer(const std::string& bytes)
{
    auto end = std::min(bytes.find('\n'), bytes.size());
    auto tail = std::string_view(bytes).substr(std::min(end + 1, bytes.size()));
    auto head = readTyped(bytes.substr(0, end), [](const Json::Value& json) {
        NewsAnswer answer;
        answer.relays = json["relays"].asBool();
        answer.roster = { .relays = toStrings(json["roster"]), .version = json["roster_version"].asUInt64() };
        answer.update.whole = json["whole"].asBool();
        answer.update.position = { .registry = json["registry"].asUInt64(), .operators = json["operators"].asUInt64() };
        answer.update.age = Common::fromMilliseconds(json["age_ms"].asDouble());
        answer.members = { .whole = json["members_whole"].asBool(), .revision = json["members_revision"].asUInt64(), .total = json["members_total"].asInt(), .members = {}, .gone = toStrings(json["gone"]) };
        for (const auto& member : json["members"])
            answer.members.members.push_back(toMember(member));
        return std::pair(answer, json["rows_deflated"].asBool());
    });
    if (!head)
        return head.error();
    auto [news, isDeflated] = head.value();
    if (!news.relays)
        return news;
    auto rows = isDeflated ? Net::inflated(tail, maxRowsBytes) : std::optional(std::string(tail));
    auto list = rows ? Common::parseJsonArray(*rows) : std::nullopt;
    if (!list)
        return malformed("rows are no JSON array");
    try {
        for (const auto& row : *list)
            news.update.rows.push_back(toRow(row));
    } catch (const Json::Exception& ec) {
        return malformed(ec.what());
    }
    return news;
}

std::string toText(const Roster& roster)
{
    Json::Value json;
    json["relays"] = toJson(roster.relays);
    return Common::jsonText(json);
}

Common::Result<Roster> parseRoster(const std::string& text, std::uint64_t version)
{
    return readTyped(text, [version](const Json::Value& json) { return Roster { .relays = toStrings(json["relays"]), .version = version }; });
}

}
