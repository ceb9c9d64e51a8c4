#include "Gateway/RelayMessages.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <json/json.h>

#include "Common/JsonText.h"
#include "Net/Deflate.h"

namespace Gateway {

namespace {

    // Shorter rows gain nothing from compression.
    constexpr std::size_t minDeflateBytes = 1024;
    // Upper bound on inflated rows: the design size of 19,000 servers with some reserve.
    constexpr std::size_t maxRowsBytes = 32 * 1024 * 1024;

    Common::Error malformed(const std::string& what)
    {
        return { .code = Common::ResultCode::PeerRefused, .text = what };
    }

    // An array rather than an object, since member lists are sent often.
    Json::Value toJson(const Member& member)
    {
        Json::Value json(Json::arrayValue);
        json.append(member.control);
        json.append(member.callers);
        json.append(member.failureDomain);
        json.append(Json::Int64(member.startedMs));
        json.append(member.capacity);
        json.append(member.serving ? 1 : 0);
        json.append(member.forwarding);
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
        member.forwarding = json[i++].asString(); // empty if the member's version knows no forwarded requests
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
        Platform::TableRow row {
            .table = json["table"].asString(),
            .key = json["key"].asString(),
            .value = {},
            .version = json["version"].asUInt64(),
        };
        if (json.isMember("value"))
            row.value = json["value"].asString();
        return row;
    }

    // [identity, answered, server...]: reports are few, but may be sent to all gateways.
    Json::Value toJson(const Decisions::CrashReport& report)
    {
        Json::Value json(Json::arrayValue);
        json.append(Json::UInt64(report.identity));
        json.append(report.answered ? 1 : 0);
        for (auto server : report.servers)
            json.append(Json::UInt64(server));
        return json;
    }

    Decisions::CrashReport toCrashReport(const Json::Value& json)
    {
        Json::ArrayIndex i = 0;
        Decisions::CrashReport report;
        report.identity = json[i++].asUInt64();
        report.answered = json[i++].asInt() != 0;
        while (i < json.size())
            report.servers.push_back(json[i++].asUInt64());
        return report;
    }

    Json::Value toJson(const std::vector<Decisions::CrashReport>& reports)
    {
        Json::Value json(Json::arrayValue);
        for (const auto& report : reports)
            json.append(toJson(report));
        return json;
    }

    std::vector<Decisions::CrashReport> toCrashReports(const Json::Value& json)
    {
        std::vector<Decisions::CrashReport> reports;
        for (const auto& report : json)
            reports.push_back(toCrashReport(report));
        return reports;
    }

    // Larger numbers than any real one would not fit into a duration.
    Common::Duration toInterval(const Json::Value& json)
    {
        constexpr double maxIntervalMs = 24 * 3600e3;
        return Common::fromMilliseconds(std::clamp(json.asDouble(), 0.0, maxIntervalMs));
    }

    // [gateway, start, full, counted for, organisation, received, admitted, organisation...]
    Json::Value toJson(const Decisions::UsageReport& report)
    {
        Json::Value json(Json::arrayValue);
        json.append(report.gateway);
        json.append(Json::Int64(report.startedMs));
        json.append(report.isFull ? 1 : 0);
        json.append(std::round(Common::toMilliseconds(report.countedFor)));
        for (const auto& usage : report.usage) {
            json.append(usage.organisation);
            json.append(Json::UInt64(usage.received));
            json.append(Json::UInt64(usage.admitted));
        }
        return json;
    }

    Decisions::UsageReport toUsageReport(const Json::Value& json)
    {
        Json::ArrayIndex i = 0;
        Decisions::UsageReport report;
        report.gateway = json[i++].asString();
        report.startedMs = json[i++].asInt64();
        report.isFull = json[i++].asInt() != 0;
        report.countedFor = toInterval(json[i++]);
        while (i + 2 < json.size()) {
            auto& usage = report.usage.emplace_back();
            usage.organisation = json[i++].asString();
            usage.received = json[i++].asUInt64();
            usage.admitted = json[i++].asUInt64();
        }
        return report;
    }

    std::vector<Decisions::UsageReport> toUsageReports(const Json::Value& json)
    {
        std::vector<Decisions::UsageReport> reports;
        for (const auto& report : json)
            reports.push_back(toUsageReport(report));
        return reports;
    }

    // [organisation, fraction, wait]
    Json::Value toJson(const std::vector<Decisions::Allowance>& allowances)
    {
        Json::Value json(Json::arrayValue);
        for (const auto& allowance : allowances) {
            Json::Value row(Json::arrayValue);
            row.append(allowance.organisation);
            row.append(allowance.fraction);
            row.append(std::round(Common::toMilliseconds(allowance.wait)));
            json.append(std::move(row));
        }
        return json;
    }

    std::vector<Decisions::Allowance> toAllowances(const Json::Value& json)
    {
        std::vector<Decisions::Allowance> allowances;
        for (const auto& row : json) {
            Json::ArrayIndex i = 0;
            auto& allowance = allowances.emplace_back();
            allowance.organisation = row[i++].asString();
            allowance.fraction = row[i++].asDouble();
            allowance.wait = toInterval(row[i++]);
        }
        return allowances;
    }

    // jsoncpp throws if a value is not of the type asked for.
    template <typename Read>
    auto readTyped(const std::string& text, Read read) -> Common::Result<decltype(read(Json::Value()))>
    {
        auto json = Common::parseJsonObject(text);
        if (!json)
            return malformed("the message is not a JSON object");
        try {
            return read(*json);
        } catch (const Json::Exception& ec) {
            return malformed(ec.what());
        }
    }

}

// Texts are written byte for byte: a row of the store that is not UTF-8 must reach the other gateways as the relay has read it.
std::string toText(const UpdateRequest& request)
{
    Json::Value json;
    json["member"] = toJson(request.member);
    json["era"] = Json::UInt64(request.position.era);
    json["registry"] = Json::UInt64(request.position.registry);
    json["operators"] = Json::UInt64(request.position.operators);
    json["evacuations"] = Json::UInt64(request.position.evacuations);
    json["listed_by"] = request.membersFrom;
    json["members_revision"] = Json::UInt64(request.membersRevision);
    json["members_start"] = Json::Int64(request.membersStartedMs);
    json["wait_ms"] = Common::toMilliseconds(request.wait);
    json["crashes"] = toJson(request.crashes);
    json["crashes_revision"] = Json::UInt64(request.crashesRevision);
    if (!request.usage.empty()) {
        json["usage"] = Json::Value(Json::arrayValue);
        for (const auto& report : request.usage)
            json["usage"].append(toJson(report));
        json["allowances_revision"] = Json::UInt64(request.allowancesRevision);
    }
    json["roster"] = toJson(request.relayList.relays);
    json["roster_version"] = Json::UInt64(request.relayList.version);
    json["roster_era"] = Json::UInt64(request.relayList.era);
    return Common::jsonBytes(json);
}

EncodedRows encodeRows(const std::vector<Platform::TableRow>& rows)
{
    Json::Value json(Json::arrayValue);
    for (const auto& row : rows)
        json.append(toJson(row));
    EncodedRows encoded { .bytes = Common::jsonBytes(json), .isDeflated = false };
    json.clear(); // the configuration may have several megabytes
    if (encoded.bytes.size() >= minDeflateBytes)
        encoded = { .bytes = Net::zlibCompress(encoded.bytes), .isDeflated = true };
    return encoded;
}

std::string toText(const UpdateResponse& response, const EncodedRows& rows)
{
    Json::Value json;
    json["relays"] = response.isRelay;
    json["roster"] = toJson(response.relayList.relays);
    json["roster_version"] = Json::UInt64(response.relayList.version);
    json["roster_era"] = Json::UInt64(response.relayList.era);
    if (response.isRelay) {
        json["whole"] = response.catalog.isFull;
        json["removals_known"] = response.catalog.knowsRemovals;
        json["era"] = Json::UInt64(response.catalog.position.era);
        json["registry"] = Json::UInt64(response.catalog.position.registry);
        json["operators"] = Json::UInt64(response.catalog.position.operators);
        json["evacuations"] = Json::UInt64(response.catalog.position.evacuations);
        json["evacuations_whole"] = response.catalog.hasAllEvacuations;
        json["age_ms"] = Common::toMilliseconds(response.catalog.age);
        json["held_ms"] = Common::toMilliseconds(response.held);
        if (response.catalog.configurationAge)
            json["configuration_age_ms"] = Common::toMilliseconds(*response.catalog.configurationAge);
        if (!response.catalog.rowAges.empty()) {
            auto& ages = json["row_ages_ms"] = Json::Value(Json::objectValue);
            for (const auto& [key, age] : response.catalog.rowAges)
                ages[key] = Json::Int64(Common::toMilliseconds(age));
        }
        json["rows_deflated"] = rows.isDeflated;
        json["members_whole"] = response.members.isFull;
        json["members_revision"] = Json::UInt64(response.members.revision);
        json["members_start"] = Json::Int64(response.members.startedMs);
        json["members_total"] = response.members.total;
        json["members"] = Json::Value(Json::arrayValue);
        for (const auto& member : response.members.members)
            json["members"].append(toJson(member));
        json["gone"] = toJson(response.members.departed);
        if (response.members.remoteTargets) {
            json["remote_targets"] = Json::Value(Json::arrayValue);
            for (const auto& member : *response.members.remoteTargets)
                json["remote_targets"].append(toJson(member));
        }
        json["crashes"] = toJson(response.crashes);
        json["crashes_revision"] = Json::UInt64(response.crashesRevision);
        if (response.allowances) {
            json["allowances"] = toJson(*response.allowances);
            json["allowances_revision"] = Json::UInt64(response.allowancesRevision);
        }
    }
    // The JSON text contains no line break itself.
    return Common::jsonBytes(json) + "\n" + (response.isRelay ? rows.bytes : std::string());
}

Common::Result<UpdateRequest> parseUpdateRequest(const std::string& text)
{
    return readTyped(text, [](const Json::Value& json) {
        return UpdateRequest {
            .member = toMember(json["member"]),
            .position = {
                .era = json["era"].asUInt64(),
                .registry = json["registry"].asUInt64(),
                .operators = json["operators"].asUInt64(),
                .evacuations = json.isMember("evacuations") ? json["evacuations"].asUInt64() : CatalogPosition::takesNoEvacuations,
            },
            .membersFrom = json["listed_by"].asString(),
            .membersRevision = json["members_revision"].asUInt64(),
            .membersStartedMs = json["members_start"].asInt64(),
            .wait = Common::fromMilliseconds(json["wait_ms"].asDouble()),
            .relayList = { .relays = toStrings(json["roster"]), .version = json["roster_version"].asUInt64(), .era = json["roster_era"].asUInt64() },
            .crashes = toCrashReports(json["crashes"]),
            // A gateway of a version that knows no crash reports can't be told of them.
            .crashesRevision = json.isMember("crashes_revision") ? json["crashes_revision"].asUInt64() : std::numeric_limits<std::uint64_t>::max(),
            .usage = toUsageReports(json["usage"]),
            // A gateway without organisations, or of a version that knows no allowances, is not answered because of them.
            .allowancesRevision = json.isMember("allowances_revision") ? json["allowances_revision"].asUInt64() : std::numeric_limits<std::uint64_t>::max(),
        };
    });
}

Common::Result<UpdateResponse> parseUpdateResponse(const std::string& bytes)
{
    auto end = std::min(bytes.find('\n'), bytes.size());
    auto tail = std::string_view(bytes).substr(std::min(end + 1, bytes.size()));
    auto head = readTyped(bytes.substr(0, end), [](const Json::Value& json) {
        UpdateResponse response;
        response.isRelay = json["relays"].asBool();
        response.relayList = { .relays = toStrings(json["roster"]), .version = json["roster_version"].asUInt64(), .era = json["roster_era"].asUInt64() };
        response.catalog.isFull = json["whole"].asBool();
        response.catalog.knowsRemovals = json["removals_known"].asBool(); // absent in versions that do not track it
        response.catalog.position = {
            .era = json["era"].asUInt64(),
            .registry = json["registry"].asUInt64(),
            .operators = json["operators"].asUInt64(),
            .evacuations = json["evacuations"].asUInt64(), // absent in versions that pass on none
        };
        response.catalog.hasAllEvacuations = json["evacuations_whole"].asBool();
        response.catalog.age = Common::fromMilliseconds(json["age_ms"].asDouble());
        response.held = Common::fromMilliseconds(json["held_ms"].asDouble());
        if (json.isMember("configuration_age_ms"))
            response.catalog.configurationAge = Common::fromMilliseconds(std::max(0.0, json["configuration_age_ms"].asDouble()));
        for (const auto& key : json["row_ages_ms"].getMemberNames())
            response.catalog.rowAges[key] = Common::fromMilliseconds(std::max(0.0, json["row_ages_ms"][key].asDouble()));
        response.members = {
            .isFull = json["members_whole"].asBool(),
            .revision = json["members_revision"].asUInt64(),
            .startedMs = json["members_start"].asInt64(),
            .total = json["members_total"].asInt(),
            .members = {},
            .departed = toStrings(json["gone"]),
        };
        for (const auto& member : json["members"])
            response.members.members.push_back(toMember(member));
        if (json.isMember("remote_targets")) {
            response.members.remoteTargets.emplace();
            for (const auto& member : json["remote_targets"])
                response.members.remoteTargets->push_back(toMember(member));
        }
        response.crashes = toCrashReports(json["crashes"]);
        response.crashesRevision = json["crashes_revision"].asUInt64();
        if (json.isMember("allowances"))
            response.allowances = toAllowances(json["allowances"]);
        response.allowancesRevision = json["allowances_revision"].asUInt64();
        return std::pair(response, json["rows_deflated"].asBool());
    });
    if (!head)
        return head.error();
    auto [response, isDeflated] = head.value();
    if (!response.isRelay)
        return response;
    auto rows = isDeflated ? Net::zlibDecompress(tail, maxRowsBytes) : std::optional(std::string(tail));
    auto list = rows ? Common::parseJsonArray(*rows) : std::nullopt;
    if (!list)
        return malformed("the rows are not a JSON array");
    // A large configuration is held once at a time.
    rows.reset();
    try {
        for (auto& row : *list) {
            response.catalog.rows.push_back(toRow(row));
            row = Json::Value();
        }
    } catch (const Json::Exception& ec) {
        return malformed(ec.what());
    }
    return std::move(response);
}

std::string toText(const RelayList& list)
{
    Json::Value json;
    json["relays"] = toJson(list.relays);
    return Common::jsonBytes(json);
}

std::string toText(const std::vector<Decisions::CrashReport>& reports)
{
    Json::Value json;
    json["crashes"] = toJson(reports);
    return Common::jsonBytes(json);
}

Common::Result<std::vector<Decisions::CrashReport>> parseCrashReports(const std::string& text)
{
    return readTyped(text, [](const Json::Value& json) { return toCrashReports(json["crashes"]); });
}

Common::Result<RelayList> parseRelayList(const std::string& text, std::uint64_t version, std::uint64_t era)
{
    return readTyped(text, [version, era](const Json::Value& json) {
        return RelayList { .relays = toStrings(json["relays"]), .version = version, .era = era };
    });
}

}
