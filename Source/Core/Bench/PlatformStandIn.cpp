#include "Bench/PlatformStandIn.h"

#include <sstream>

#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <json/json.h>

namespace Bench {

namespace {

    using Poco::Net::HTTPResponse;
    using Poco::Net::HTTPServerRequest;
    using Poco::Net::HTTPServerResponse;

    constexpr int maxConnections = 512;

    void send(HTTPServerResponse& response, HTTPResponse::HTTPStatus status, const std::string& body)
    {
        response.setStatusAndReason(status);
        response.setContentType("application/json");
        response.sendBuffer(body.data(), body.size());
    }

    void send(HTTPServerResponse& response, HTTPResponse::HTTPStatus status, const Json::Value& json)
    {
        send(response, status, Json::writeString(Json::StreamWriterBuilder(), json));
    }

    std::string bodyOf(HTTPServerRequest& request)
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        return body;
    }

    Json::Value toJson(const Platform::Row& row)
    {
        Json::Value json;
        json["key"] = row.key;
        json["value"] = row.value;
        json["version"] = Json::UInt64(row.version);
        return json;
    }

    Platform::Transaction toTransaction(const Json::Value& json)
    {
        Platform::Transaction transaction;
        for (const auto& item : json["conditions"])
            transaction.conditions.push_back({ item["key"].asString(), item["version"].asUInt64() });
        for (const auto& item : json["writes"])
            transaction.writes.push_back({ item["key"].asString(), item.isMember("value") ? std::optional(item["value"].asString()) : std::nullopt });
        return transaction;
    }

}

PlatformStandIn::PlatformStandIn()
    : m_server([this](auto& request, auto& response) { handle(request, response); }, maxConnections)
{
}

void PlatformStandIn::setInstances(std::vector<Platform::Instance> instances)
{
    std::lock_guard lock(m_mutex);
    m_instances = std::move(instances);
}

Platform::TransactionAnswer PlatformStandIn::commit(const Platform::Transaction& transaction)
{
    std::lock_guard lock(m_mutex);
    Platform::TransactionAnswer answer { .committed = true, .found = {} };
    for (const auto& condition : transaction.conditions) {
        auto it = m_rows.find(condition.key);
        auto version = it == m_rows.end() ? 0 : it->second.version;
        answer.found.push_back({ condition.key, version });
        answer.committed = answer.committed && version == condition.version;
    }
    if (!answer.committed)
        return answer;
    ++m_lastVersion;
    for (const auto& write : transaction.writes) {
        if (write.value)
            m_rows[write.key] = { .key = write.key, .value = *write.value, .version = m_lastVersion };
        else
            m_rows.erase(write.key);
    }
    return { .committed = true, .found = {} };
}

void PlatformStandIn::handle(HTTPServerRequest& request, HTTPServerResponse& response)
{
    Poco::URI uri(request.getURI());
    const auto& path = uri.getPath();
    constexpr std::string_view objectPrefix = "/objects/";
    if (path.starts_with("/table/"))
        return handleTable(path, request, response);
    if (path.starts_with(objectPrefix))
        return handleObject(path.substr(objectPrefix.size()), request, response);
    if (path != "/instances")
        return send(response, HTTPResponse::HTTP_NOT_FOUND, std::string("{}"));
    Json::Value json(Json::arrayValue);
    std::lock_guard lock(m_mutex);
    for (const auto& instance : m_instances) {
        Json::Value item;
        item["address"] = instance.address;
        item["kind"] = instance.kind == Platform::InstanceKind::Entry ? "entry" : "backend";
        item["pool"] = instance.pool;
        item["failure_domain"] = instance.failureDomain;
        item["state"] = instance.leaving ? "leaving" : "live";
        item["peer_address"] = instance.peerAddress;
        json.append(item);
    }
    send(response, HTTPResponse::HTTP_OK, json);
}

void PlatformStandIn::handleTable(const std::string& path, HTTPServerRequest& request, HTTPServerResponse& response)
{
    constexpr std::string_view rowPrefix = "/table/rows/";
    if (path == "/table/transactions") {
        Json::Value json;
        std::istringstream in(bodyOf(request));
        if (!Json::parseFromStream(Json::CharReaderBuilder(), in, &json, nullptr))
            return send(response, HTTPResponse::HTTP_BAD_REQUEST, std::string("{}"));
        auto answer = commit(toTransaction(json));
        Json::Value body;
        body["found"] = Json::arrayValue;
        for (const auto& condition : answer.found) {
            Json::Value item;
            item["key"] = condition.key;
            item["version"] = Json::UInt64(condition.version);
            body["found"].append(item);
        }
        return send(response, answer.committed ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_CONFLICT, body);
    }
    std::lock_guard lock(m_mutex);
    if (path.starts_with(rowPrefix)) {
        auto it = m_rows.find(path.substr(rowPrefix.size()));
        if (it == m_rows.end())
            return send(response, HTTPResponse::HTTP_NOT_FOUND, std::string("{}"));
        return send(response, HTTPResponse::HTTP_OK, toJson(it->second));
    }
    std::map<std::string, std::string> parameters;
    for (const auto& [name, value] : Poco::URI(request.getURI()).getQueryParameters())
        parameters[name] = value;
    auto limit = static_cast<Json::ArrayIndex>(std::stoul("0" + parameters["limit"]));
    Json::Value json;
    json["rows"] = Json::arrayValue;
    for (auto it = m_rows.lower_bound(parameters["prefix"]); it != m_rows.end() && it->first.starts_with(parameters["prefix"]) && json["rows"].size() < limit; ++it) {
        if (it->first > parameters["after"])
            json["rows"].append(toJson(it->second));
    }
    send(response, HTTPResponse::HTTP_OK, json);
}

void PlatformStandIn::handleObject(const std::string& key, HTTPServerRequest& request, HTTPServerResponse& response)
{
    std::lock_guard lock(m_mutex);
    auto it = m_objects.find(key);
    if (request.getMethod() == "GET") {
        if (it == m_objects.end())
            return send(response, HTTPResponse::HTTP_NOT_FOUND, std::string());
        response.set("ETag", it->second.etag);
        return send(response, HTTPResponse::HTTP_OK, it->second.bytes);
    }
    auto expected = request.get("If-Match", "none");
    if (expected != (it == m_objects.end() ? "none" : it->second.etag))
        return send(response, HTTPResponse::HTTP_PRECONDITION_FAILED, std::string());
    auto etag = std::to_string(++m_lastVersion);
    m_objects[key] = { .bytes = bodyOf(request), .etag = etag };
    response.set("ETag", etag);
    send(response, HTTPResponse::HTTP_OK, std::string());
}

}
