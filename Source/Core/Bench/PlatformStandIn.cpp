#include "Bench/PlatformStandIn.h"

#include <sstream>
#include <thread>

#include <Poco/Net/HTTPServerRequestImpl.h>
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

    Common::TimePoint now()
    {
        return Common::TimePoint(std::chrono::steady_clock::now());
    }

    // Ends the connection without an answer.
    void hangUp(HTTPServerRequest& request, HTTPServerResponse& response)
    {
        response.setKeepAlive(false);
        static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
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

PlatformStandIn::PlatformStandIn(PlatformOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_server([this](auto& request, auto& response) { handle(request, response); }, maxConnections)
{
}

void PlatformStandIn::setInstances(std::vector<Platform::Instance> instances)
{
    std::lock_guard lock(m_mutex);
    m_listings.push_back({ .at = now(), .instances = std::move(instances) });
}

void PlatformStandIn::begin(const Fault& fault)
{
    std::lock_guard lock(m_mutex);
    m_faults[static_cast<std::size_t>(fault.kind)] = fault;
}

void PlatformStandIn::end(FaultKind kind)
{
    std::lock_guard lock(m_mutex);
    m_faults[static_cast<std::size_t>(kind)].reset();
}

void PlatformStandIn::onListing(std::function<void(const std::vector<Platform::Instance>&)> hook)
{
    std::lock_guard lock(m_mutex);
    m_onListing = std::move(hook);
}

std::optional<Platform::Row> PlatformStandIn::row(const std::string& key) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_rows.find(key);
    return it == m_rows.end() ? std::nullopt : std::optional(it->second);
}

Platform::TransactionResult PlatformStandIn::commit(const Platform::Transaction& transaction)
{
    std::lock_guard lock(m_mutex);
    Platform::TransactionResult answer { .committed = true, .found = {} };
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
    if (!admit(request, response))
        return;
    Poco::URI uri(request.getURI());
    const auto& path = uri.getPath();
    constexpr std::string_view objectPrefix = "/objects/";
    if (path.starts_with("/table/"))
        return handleTable(path, request, response);
    if (path.starts_with(objectPrefix))
        return handleObject(path.substr(objectPrefix.size()), request, response);
    if (path != "/instances")
        return send(response, HTTPResponse::HTTP_NOT_FOUND, std::string("{}"));
    handleInstances(request, response);
}

bool PlatformStandIn::admit(HTTPServerRequest& request, HTTPServerResponse& response)
{
    Common::Duration delay {};
    {
        std::lock_guard lock(m_mutex);
        if (const auto& slow = m_faults[static_cast<std::size_t>(FaultKind::StoreSlow)])
            delay = slow->delay;
    }
    std::this_thread::sleep_for(delay);
    auto isWrite = request.getMethod() != "GET";
    if (request.getURI().starts_with("/instances"))
        ++m_counts.listings;
    else
        ++(isWrite ? m_counts.writes : m_counts.reads);
    std::unique_lock lock(m_mutex);
    if (m_faults[static_cast<std::size_t>(FaultKind::StoreDown)]) {
        lock.unlock();
        hangUp(request, response);
        return false;
    }
    if (overRate(isWrite ? m_writes : m_reads, isWrite ? m_options.writesPerSecond : m_options.readsPerSecond)) {
        lock.unlock();
        ++m_counts.refused;
        send(response, HTTPResponse::HTTP_TOO_MANY_REQUESTS, std::string("{}"));
        return false;
    }
    if (isWrite && draw(FaultKind::LostWrites)) {
        lock.unlock();
        ++m_counts.answersLost;
        hangUp(request, response);
        return false;
    }
    return true;
}

bool PlatformStandIn::overRate(Rate& rate, int limit)
{
    if (now() - rate.second >= std::chrono::seconds(1))
        rate = { .second = now(), .count = 0 };
    return ++rate.count > limit;
}

bool PlatformStandIn::loses(FaultKind kind)
{
    std::lock_guard lock(m_mutex);
    return draw(kind);
}

bool PlatformStandIn::draw(FaultKind kind)
{
    const auto& fault = m_faults[static_cast<std::size_t>(kind)];
    return fault && std::uniform_real_distribution<double>()(m_random) < fault->share;
}

void PlatformStandIn::takeInstances(HTTPServerRequest& request, HTTPServerResponse& response)
{
    Json::Value json;
    std::istringstream in(bodyOf(request));
    if (!Json::parseFromStream(Json::CharReaderBuilder(), in, &json, nullptr) || !json.isArray())
        return send(response, HTTPResponse::HTTP_BAD_REQUEST, std::string("{}"));
    std::vector<Platform::Instance> instances;
    for (const auto& item : json) {
        instances.push_back({
            .address = item["address"].asString(),
            .kind = item["kind"].asString() == "entry" ? Platform::InstanceKind::Entry : Platform::InstanceKind::Backend,
            .pool = item["pool"].asString(),
            .failureDomain = item["failure_domain"].asString(),
            .leaving = item["state"].asString() == "leaving",
            .peerAddress = item["peer_address"].asString(),
        });
    }
    setInstances(std::move(instances));
    send(response, HTTPResponse::HTTP_OK, std::string("{}"));
}

std::vector<Platform::Instance> PlatformStandIn::listed()
{
    auto lag = m_options.instancesLag;
    if (const auto& fault = m_faults[static_cast<std::size_t>(FaultKind::InstancesLag)])
        lag = fault->delay;
    std::vector<Platform::Instance> seen = m_listings.empty() ? std::vector<Platform::Instance> {} : m_listings.front().instances;
    for (const auto& listing : m_listings) {
        if (listing.at + lag <= now())
            seen = listing.instances;
    }
    return seen;
}

void PlatformStandIn::handleInstances(HTTPServerRequest& request, HTTPServerResponse& response)
{
    // The platform's own fleet tool, for whoever runs the stand-in as a process.
    if (request.getMethod() == "PUT")
        return takeInstances(request, response);
    Json::Value json(Json::arrayValue);
    {
        std::lock_guard lock(m_mutex);
        auto instances = listed();
        if (m_onListing)
            m_onListing(instances);
        for (const auto& instance : instances) {
            Json::Value item;
            item["address"] = instance.address;
            item["kind"] = instance.kind == Platform::InstanceKind::Entry ? "entry" : "backend";
            item["pool"] = instance.pool;
            item["failure_domain"] = instance.failureDomain;
            item["state"] = instance.leaving ? "leaving" : "live";
            item["peer_address"] = instance.peerAddress;
            json.append(item);
        }
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
        if (loses(FaultKind::LostWriteAnswers)) {
            ++m_counts.answersLost;
            return hangUp(request, response);
        }
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
    auto bytes = bodyOf(request);
    auto isLost = request.getMethod() != "GET" && loses(FaultKind::LostWriteAnswers);
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
    m_objects[key] = { .bytes = bytes, .etag = etag };
    if (isLost) {
        ++m_counts.answersLost;
        return hangUp(request, response);
    }
    response.set("ETag", etag);
    send(response, HTTPResponse::HTTP_OK, std::string());
}

}
