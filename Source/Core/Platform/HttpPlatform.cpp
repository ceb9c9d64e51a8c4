#include "Platform/HttpPlatform.h"

#include <array>
#include <sstream>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>
#include <fmt/format.h>
#include <json/json.h>

#include "Common/Address.h"
#include "Common/JsonText.h"

namespace Platform {

namespace {

    using Common::Error;
    using Common::Result;
    using Common::ResultCode;
    using Poco::Net::HTTPRequest;
    using Poco::Net::HTTPResponse;

    struct HttpAnswer {
        int status = 0;
        std::string body;
        std::string etag;
    };

    struct HttpCall {
        std::string method;
        std::string path;
        std::string body;
        std::string ifMatch;
    };

    std::string encode(const std::string& text)
    {
        std::string encoded;
        Poco::URI::encode(text, "/?#&+=", encoded);
        return encoded;
    }

    // Reads to the end of the body, within the bounds on its size and time; returns why it was given up.
    std::optional<Error> readBody(std::istream& in, const HttpPlatformOptions& options, std::string& body)
    {
        constexpr std::size_t pieceBytes = 16 * 1024;
        std::array<char, pieceBytes> buf {};
        auto deadline = std::chrono::steady_clock::now() + options.bodyTimeout;
        while (in.good()) {
            // What has arrived, at least one byte: a trickle must not hide behind a large read.
            in.read(buf.data(), 1);
            if (in.gcount() == 0)
                break;
            auto more = in.readsome(buf.data() + 1, pieceBytes - 1);
            body.append(buf.data(), static_cast<std::size_t>(1 + more));
            if (body.size() > options.answerBytes)
                return Error { ResultCode::StoreProtocol, "the platform's answer is too large" };
            if (std::chrono::steady_clock::now() > deadline)
                return Error { ResultCode::StoreUnavailable, "the platform's answer trickles" };
        }
        return std::nullopt;
    }

    // A connection a call: the store is asked a few times a second, and a fresh connection cannot have gone silent.
    Result<HttpAnswer> exchange(const HttpPlatformOptions& options, const HttpCall& call)
    {
        try {
            Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(options.address) };
            session.setTimeout(Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(options.timeout).count()));
            HTTPRequest request(call.method, call.path, HTTPRequest::HTTP_1_1);
            request.setContentLength(static_cast<std::streamsize>(call.body.size()));
            if (!call.ifMatch.empty())
                request.set("If-Match", call.ifMatch);
            session.sendRequest(request) << call.body;
            HTTPResponse response;
            auto& in = session.receiveResponse(response);
            HttpAnswer answer { .status = response.getStatus(), .body = {}, .etag = response.get("ETag", "") };
            if (auto error = readBody(in, options, answer.body))
                return *error;
            if (response.hasContentLength() && static_cast<std::streamsize>(answer.body.size()) != response.getContentLength())
                return Error { ResultCode::StoreUnavailable, "the platform's answer was cut short" };
            return answer;
        } catch (const Poco::Exception& ec) {
            return Error { ResultCode::StoreUnavailable, ec.displayText() };
        }
    }

    Error unexpected(const HttpCall& call, const HttpAnswer& answer)
    {
        constexpr int serverError = 500;
        constexpr int tooManyRequests = 429;
        auto busy = answer.status >= serverError || answer.status == tooManyRequests;
        return { busy ? ResultCode::StoreUnavailable : ResultCode::StoreProtocol,
            fmt::format("{} {}: status {}", call.method, call.path, answer.status) };
    }

    struct JsonAnswer {
        int status = 0;
        Json::Value json;
    };

    Result<JsonAnswer> exchangeJson(const HttpPlatformOptions& options, const HttpCall& call, int alsoAllowed = 0)
    {
        auto answer = exchange(options, call);
        if (!answer)
            return answer.error();
        if (answer.value().status != HTTPResponse::HTTP_OK && answer.value().status != alsoAllowed)
            return unexpected(call, answer.value());
        JsonAnswer parsed { .status = answer.value().status, .json = {} };
        std::string errors;
        std::istringstream in(answer.value().body);
        if (!Json::parseFromStream(Json::CharReaderBuilder(), in, &parsed.json, &errors))
            return Error { ResultCode::StoreProtocol, "the platform's answer is not JSON: " + errors };
        return parsed;
    }

    // jsoncpp throws on a value of another type than asked for.
    template <typename T>
    Result<T> decode(const std::function<T()>& read)
    {
        try {
            return read();
        } catch (const Json::Exception& ec) {
            return Error { ResultCode::StoreProtocol, ec.what() };
        }
    }

    // jsoncpp converts between types and takes what is missing for empty; here a missing version would read as "no row".
    const Json::Value& member(const Json::Value& json, const char* name, bool isWanted(const Json::Value&))
    {
        const auto& value = json[name];
        if (!isWanted(value))
            throw Json::LogicError(fmt::format("\"{}\" is missing or of the wrong type", name));
        return value;
    }

    std::string stringMember(const Json::Value& json, const char* name)
    {
        return member(json, name, [](const Json::Value& value) { return value.isString(); }).asString();
    }

    const Json::Value& arrayMember(const Json::Value& json, const char* name)
    {
        return member(json, name, [](const Json::Value& value) { return value.isArray(); });
    }

    std::uint64_t versionMember(const Json::Value& json)
    {
        return member(json, "version", [](const Json::Value& value) { return value.isUInt64(); }).asUInt64();
    }

    Row toRow(const Json::Value& json)
    {
        Row row { .key = stringMember(json, "key"), .value = stringMember(json, "value"), .version = versionMember(json) };
        if (row.version == 0)
            throw Json::LogicError("a row that exists has version 0");
        return row;
    }

    Row toRow(const Json::Value& json, const std::string& key)
    {
        auto row = toRow(json);
        if (row.key != key)
            throw Json::LogicError("another row than asked for");
        return row;
    }

    // In ascending order after the last key, else paging would not end.
    std::vector<Row> toRows(const Json::Value& json, const Range& range)
    {
        std::vector<Row> rows;
        auto last = range.after;
        for (const auto& item : arrayMember(json, "rows")) {
            rows.push_back(toRow(item));
            if (rows.back().key <= last || !rows.back().key.starts_with(range.prefix))
                throw Json::LogicError("rows out of order or outside the range");
            last = rows.back().key;
        }
        if (rows.size() > static_cast<std::size_t>(range.limit))
            throw Json::LogicError("more rows than asked for");
        return rows;
    }

    std::string toText(const Json::Value& json)
    {
        return Common::jsonText(json);
    }

    std::string encodeTransaction(const Transaction& transaction)
    {
        Json::Value json;
        json["conditions"] = Json::arrayValue;
        json["writes"] = Json::arrayValue;
        for (const auto& condition : transaction.conditions) {
            Json::Value item;
            item["key"] = condition.key;
            item["version"] = Json::UInt64(condition.version);
            json["conditions"].append(item);
        }
        for (const auto& write : transaction.writes) {
            Json::Value item;
            item["key"] = write.key;
            if (write.value)
                item["value"] = *write.value;
            else
                item["delete"] = true;
            json["writes"].append(item);
        }
        return toText(json);
    }

    Table httpTable(const HttpPlatformOptions& options)
    {
        return {
            .get = [options](const std::string& key) -> Result<Row> {
                HttpCall call { .method = "GET", .path = "/table/rows/" + encode(key), .body = {}, .ifMatch = {} };
                auto json = exchangeJson(options, call, HTTPResponse::HTTP_NOT_FOUND);
                if (!json)
                    return json.error();
                if (json.value().status == HTTPResponse::HTTP_NOT_FOUND)
                    return Row { .key = key, .value = {}, .version = 0 };
                return decode<Row>([&] { return toRow(json.value().json, key); });
            },
            .scan = [options](const Range& range) -> Result<std::vector<Row>> {
                auto path = fmt::format("/table/rows?prefix={}&after={}&limit={}", encode(range.prefix), encode(range.after), range.limit);
                auto json = exchangeJson(options, { .method = "GET", .path = path, .body = {}, .ifMatch = {} });
                if (!json)
                    return json.error();
                return decode<std::vector<Row>>([&] { return toRows(json.value().json, range); });
            },
            .commit = [options](const Transaction& transaction) -> Result<TransactionAnswer> {
                HttpCall call { .method = "POST", .path = "/table/transactions", .body = encodeTransaction(transaction), .ifMatch = {} };
                auto json = exchangeJson(options, call, HTTPResponse::HTTP_CONFLICT);
                if (!json)
                    return json.error();
                return decode<TransactionAnswer>([&] {
                    TransactionAnswer answer;
                    answer.committed = json.value().status == HTTPResponse::HTTP_OK;
                    if (answer.committed)
                        return answer;
                    for (const auto& item : arrayMember(json.value().json, "found"))
                        answer.found.push_back({ .key = stringMember(item, "key"), .version = versionMember(item) });
                    return answer;
                });
            },
        };
    }

    Objects httpObjects(const HttpPlatformOptions& options)
    {
        return {
            .get = [options](const std::string& key) -> Result<std::optional<Object>> {
                HttpCall call { .method = "GET", .path = "/objects/" + encode(key), .body = {}, .ifMatch = {} };
                auto answer = exchange(options, call);
                if (!answer)
                    return answer.error();
                if (answer.value().status == HTTPResponse::HTTP_NOT_FOUND)
                    return std::optional<Object>();
                if (answer.value().status != HTTPResponse::HTTP_OK)
                    return unexpected(call, answer.value());
                return std::optional(Object { .bytes = answer.value().body, .etag = answer.value().etag });
            },
            .put = [options](const std::string& key, const std::string& bytes, const std::string& etag) -> Result<std::string> {
                HttpCall call { .method = "PUT", .path = "/objects/" + encode(key), .body = bytes, .ifMatch = etag.empty() ? "none" : etag };
                auto answer = exchange(options, call);
                if (!answer)
                    return answer.error();
                if (answer.value().status == HTTPResponse::HTTP_PRECONDITION_FAILED)
                    return Error { ResultCode::RecordConflict, "the object was replaced by another writer" };
                if (answer.value().status != HTTPResponse::HTTP_OK)
                    return unexpected(call, answer.value());
                return answer.value().etag;
            },
        };
    }

    // Pools and addresses for peers are left out where they do not apply.
    std::string optionalString(const Json::Value& json, const char* name)
    {
        return json.isMember(name) ? stringMember(json, name) : std::string();
    }

    Instance toInstance(const Json::Value& json)
    {
        auto kind = stringMember(json, "kind");
        if (kind != "entry" && kind != "backend")
            throw Json::LogicError("an instance of unknown kind");
        auto address = stringMember(json, "address");
        if (!Common::isAddress(address))
            throw Json::LogicError(fmt::format("\"{}\" is not an address as ip:port", address));
        return {
            .address = std::move(address),
            .kind = kind == "entry" ? InstanceKind::Entry : InstanceKind::Backend,
            .pool = optionalString(json, "pool"),
            .failureDomain = stringMember(json, "failure_domain"),
            .leaving = stringMember(json, "state") == "leaving",
            .peerAddress = optionalString(json, "peer_address"),
        };
    }

    Result<std::vector<Instance>> listInstances(const HttpPlatformOptions& options)
    {
        auto json = exchangeJson(options, { .method = "GET", .path = "/instances", .body = {}, .ifMatch = {} });
        if (!json)
            return json.error();
        return decode<std::vector<Instance>>([&] {
            std::vector<Instance> instances;
            if (!json.value().json.isArray())
                throw Json::LogicError("the instance list is not an array");
            for (const auto& item : json.value().json)
                instances.push_back(toInstance(item));
            return instances;
        });
    }

}

Services httpPlatform(const HttpPlatformOptions& options)
{
    return {
        .table = httpTable(options),
        .objects = httpObjects(options),
        .instances = [options] { return listInstances(options); },
    };
}

}
