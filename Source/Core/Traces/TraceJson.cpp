#include "Traces/TraceJson.h"

#include <array>
#include <sstream>

#include "Common/JsonText.h"
#include "Common/NameTable.h"

namespace Traces {

namespace {

    using Common::EnumName;
    using Decisions::AttemptFault;
    using Decisions::AttemptStage;
    using Decisions::HintKind;

    constexpr std::array stageNames {
        EnumName<AttemptStage> { AttemptStage::BeforeConnect, "before-connect" },
        EnumName<AttemptStage> { AttemptStage::Connecting, "connecting" },
        EnumName<AttemptStage> { AttemptStage::BeforeSend, "before-send" },
        EnumName<AttemptStage> { AttemptStage::PartlySent, "partly-sent" },
        EnumName<AttemptStage> { AttemptStage::Sent, "sent" },
        EnumName<AttemptStage> { AttemptStage::PartlyAnswered, "partly-answered" },
        EnumName<AttemptStage> { AttemptStage::Answered, "answered" },
    };

    constexpr std::array faultNames {
        EnumName<AttemptFault> { AttemptFault::None, "none" },
        EnumName<AttemptFault> { AttemptFault::Refused, "refused" },
        EnumName<AttemptFault> { AttemptFault::Closed, "closed" },
        EnumName<AttemptFault> { AttemptFault::TimedOut, "timed-out" },
        EnumName<AttemptFault> { AttemptFault::CutShort, "cut-short" },
        EnumName<AttemptFault> { AttemptFault::TooLarge, "too-large" },
        EnumName<AttemptFault> { AttemptFault::Malformed, "malformed" },
        EnumName<AttemptFault> { AttemptFault::Cancelled, "cancelled" },
    };

    constexpr std::array hintNames {
        EnumName<HintKind> { HintKind::Live, "live" },
        EnumName<HintKind> { HintKind::Draining, "draining" },
        EnumName<HintKind> { HintKind::Ejected, "ejected" },
    };

    template <typename Enum, std::size_t size>
    Enum decodeName(const std::array<EnumName<Enum>, size>& table, const Json::Value& json)
    {
        return Common::valueOf(table, json.asString()).value_or(table.front().value);
    }

}

std::string toLine(const Json::Value& json)
{
    return Common::jsonText(json);
}

std::optional<Json::Value> fromLine(const std::string& line)
{
    Json::Value json;
    std::istringstream in(line);
    if (!Json::parseFromStream(Json::CharReaderBuilder(), in, &json, nullptr) || !json.isObject())
        return std::nullopt;
    return json;
}

Json::Value encodeOptions(const Decisions::PoolOptions& options)
{
    Json::Value json;
    json["service"] = options.service;
    json["policy"] = std::string(Common::nameOf(Records::policyNames, options.policy));
    json["goal"] = std::string(Common::nameOf(Records::goalNames, options.goal));
    json["slots"] = options.slots;
    return json;
}

Decisions::PoolOptions decodeOptions(const Json::Value& json)
{
    return {
        .service = json["service"].asString(),
        .policy = decodeName(Records::policyNames, json["policy"]),
        .goal = decodeName(Records::goalNames, json["goal"]),
        .slots = json["slots"].asInt(),
    };
}

Json::Value encodeServers(std::span<const Decisions::ServerSpec> servers)
{
    Json::Value json(Json::arrayValue);
    for (const auto& server : servers) {
        Json::Value item;
        item["address"] = server.address;
        item["failure_domain"] = server.failureDomain;
        item["leaving"] = server.leaving;
        json.append(item);
    }
    return json;
}

std::vector<Decisions::ServerSpec> decodeServers(const Json::Value& json)
{
    std::vector<Decisions::ServerSpec> servers;
    for (const auto& item : json)
        servers.push_back({ .address = item["address"].asString(), .failureDomain = item["failure_domain"].asString(), .leaving = item["leaving"].asBool() });
    return servers;
}

Json::Value encodeReport(const Decisions::AttemptReport& report)
{
    Json::Value json;
    json["stage"] = std::string(Common::nameOf(stageNames, report.end.stage));
    json["fault"] = std::string(Common::nameOf(faultNames, report.end.fault));
    json["status"] = report.end.status;
    json["not_run"] = report.end.provenNotRun;
    if (report.load) {
        json["load"]["in_flight"] = report.load->inFlight;
        json["load"]["slots"] = report.load->slots;
        json["load"]["draining"] = report.load->draining;
    }
    return json;
}

Decisions::AttemptReport decodeReport(const Json::Value& json)
{
    Decisions::AttemptReport report;
    report.end = {
        .stage = decodeName(stageNames, json["stage"]),
        .fault = decodeName(faultNames, json["fault"]),
        .status = json["status"].asInt(),
        .provenNotRun = json["not_run"].asBool(),
    };
    if (json.isMember("load"))
        report.load = { .inFlight = json["load"]["in_flight"].asInt(), .slots = json["load"]["slots"].asInt(), .draining = json["load"]["draining"].asBool() };
    return report;
}

Json::Value encodeHint(const Decisions::ServerHint& hint)
{
    Json::Value json;
    json["service"] = hint.service;
    json["server"] = hint.server;
    json["kind"] = std::string(Common::nameOf(hintNames, hint.kind));
    json["incarnation"] = Json::UInt64(hint.incarnation);
    return json;
}

Decisions::ServerHint decodeHint(const Json::Value& json)
{
    return {
        .service = json["service"].asString(),
        .server = json["server"].asString(),
        .kind = decodeName(hintNames, json["kind"]),
        .incarnation = json["incarnation"].asUInt64(),
    };
}

Json::Value encodeStrings(std::span<const std::string> strings)
{
    Json::Value json(Json::arrayValue);
    for (const auto& string : strings)
        json.append(string);
    return json;
}

std::vector<std::string> decodeStrings(const Json::Value& json)
{
    std::vector<std::string> strings;
    for (const auto& item : json)
        strings.push_back(item.asString());
    return strings;
}

}
