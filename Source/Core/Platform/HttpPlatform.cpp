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
#include "Net/MessageSyntax.h"

namespace Platform {

namespace {

    using Common::Error;
    using Common::Result;
    using Common::ResultCode;
    using Poco::Net::HTTPRequest;
    using Poco::Net::HTTPResponse;

    struct PlatformResponse {
        int status = 0;
        std::string body;
        std::string etag;
    };

    struct PlatformRequest {
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

    // Reads the whole body within the limits on its size and time. Returns the error if a limit is exceeded.
    std::optional<Error> readBody(std::istream& in, const HttpPlatformOptions& options, std::string& body)
    {
        constexpr std::size_t chunkBytes = 16 * 1024;
        std::array<char, chunkBytes> buf {};
        auto deadline = std::chrono::steady_clock::now() + options.bodyTimeout;
        while (in.good()) {
            // Blocks for one byte only, then takes what has arrived: a large blocking read would not return to check the deadline while
            // the body arrives slowly.
            in.read(buf.data(), 1);
            if (in.gcount() == 0)
                break;
            auto more = in.readsome(buf.data() + 1, chunkBytes - 1);
            body.append(buf.data(), static_cast<std::size_t>(1 + more));
            if (body.size() > options.maxResponseBytes)
                return Error { ResultCode::StoreProtocol, "response of the platform exceeds the size limit" };
            if (std::chrono::steady_clock::now() > deadline)
                return Error { ResultCode::StoreUnavailable, "timeout while reading the response body from the platform" };
        }
        return std::nullopt;
    }

    // 0 if it is no status. Read from the status line, since the library's enumeration can't hold every number.
    int statusOf(const HTTPResponse& head)
    {
        std::ostringstream out;
        head.write(out);
        auto text = out.str();
        auto line = Net::parseStatusLine(std::string_view(text).substr(0, text.find("\r\n")));
        return line ? line->status : 0;
    }

    // The library accepts any status and name, and takes a chunked body, or one without a length, that is cut off for a whole one.
    std::optional<Error> checkHead(const HTTPResponse& head)
    {
        constexpr int firstFinalStatus = 200;
        if (statusOf(head) < firstFinalStatus)
            return Error { ResultCode::StoreProtocol, "expected a status from 200 to 599 of the platform, got another one" };
        for (const auto& [name, value] : head) {
            if (!Net::isToken(name) || !Net::isFieldValue(value))
                return Error { ResultCode::StoreProtocol, "expected a token for the name of a header of the platform, got '" + Net::excerpt(name) + "'" };
        }
        if (!head.hasContentLength() || head.getChunkedTransferEncoding())
            return Error { ResultCode::StoreProtocol, "expected a response of the platform with a Content-Length, got one without" };
        return std::nullopt;
    }

    // Opens a new connection for each call: there are only a few calls per second, and a new connection cannot be stale.
    Result<PlatformResponse> exchange(const HttpPlatformOptions& options, const PlatformRequest& request)
    {
        try {
            Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(options.address) };
            session.setTimeout(Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(options.timeout).count()));
            HTTPRequest httpRequest(request.method, request.path, HTTPRequest::HTTP_1_1);
            httpRequest.setContentLength(static_cast<std::streamsize>(request.body.size()));
            if (!request.ifMatch.empty())
                httpRequest.set("If-Match", request.ifMatch);
            session.sendRequest(httpRequest) << request.body;
            HTTPResponse head;
            auto& in = session.receiveResponse(head);
            if (auto error = checkHead(head))
                return *error;
            PlatformResponse response { .status = statusOf(head), .body = {}, .etag = head.get("ETag", "") };
            if (auto error = readBody(in, options, response.body))
                return *error;
            if (static_cast<std::streamsize>(response.body.size()) != head.getContentLength())
                return Error { ResultCode::StoreUnavailable, "response of the platform is truncated: shorter than its Content-Length" };
            return response;
        } catch (const Poco::Exception& ec) {
            return Error { ResultCode::StoreUnavailable, ec.displayText() };
        }
    }

    Error unexpectedStatus(const PlatformRequest& request, const PlatformResponse& response)
    {
        constexpr int serverError = 500;
        constexpr int tooManyRequests = 429;
        auto busy = response.status >= serverError || response.status == tooManyRequests;
        return { busy ? ResultCode::StoreUnavailable : ResultCode::StoreProtocol,
            fmt::format("{} {}: status {}", request.method, request.path, response.status) };
    }

    struct JsonResponse {
        int status = 0;
        Json::Value json;
    };

    Result<JsonResponse> exchangeJson(const HttpPlatformOptions& options, const PlatformRequest& request, int alsoAccepted = 0)
    {
        auto response = exchange(options, request);
        if (!response)
            return response.error();
        if (response.value().status != HTTPResponse::HTTP_OK && response.value().status != alsoAccepted)
            return unexpectedStatus(request, response.value());
        JsonResponse parsed { .status = response.value().status, .json = {} };
        std::string errors;
        std::istringstream in(response.value().body);
        if (!Json::parseFromStream(Json::CharReaderBuilder(), in, &parsed.json, &errors))
            return Error { ResultCode::StoreProtocol, "response of the platform is not valid JSON: " + errors };
        return parsed;
    }

    // Turns the exceptions that jsoncpp throws on type mismatches into errors.
    template <typename T>
    Result<T> decode(const std::function<T()>& read)
    {
        try {
            return read();
        } catch (const Json::Exception& ec) {
            return Error { ResultCode::StoreProtocol, ec.what() };
        }
    }

    // jsoncpp converts between types and returns a default for a missing member: a missing version would be read as 0, "no row".
    const Json::Value& member(const Json::Value& json, const char* name, bool hasExpectedType(const Json::Value&))
    {
        const auto& value = json[name];
        if (!hasExpectedType(value))
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
            throw Json::LogicError("row has version 0, expected a version greater than 0");
        return row;
    }

    Row toRow(const Json::Value& json, const std::string& key)
    {
        auto row = toRow(json);
        if (row.key != key)
            throw Json::LogicError("response holds a different row than requested");
        return row;
    }

    // Requires ascending keys after the last key of the previous page: otherwise paging might never end.
    std::vector<Row> toRows(const Json::Value& json, const Range& range)
    {
        std::vector<Row> rows;
        auto last = range.after;
        for (const auto& item : arrayMember(json, "rows")) {
            rows.push_back(toRow(item));
            if (rows.back().key <= last || !rows.back().key.starts_with(range.prefix))
                throw Json::LogicError("rows are out of order or outside the requested range");
            last = rows.back().key;
        }
        if (rows.size() > static_cast<std::size_t>(range.limit))
            throw Json::LogicError("more rows than requested");
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
                PlatformRequest request { .method = "GET", .path = "/table/rows/" + encode(key), .body = {}, .ifMatch = {} };
                auto json = exchangeJson(options, request, HTTPResponse::HTTP_NOT_FOUND);
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
            .commit = [options](const Transaction& transaction) -> Result<TransactionResult> {
                PlatformRequest request { .method = "POST", .path = "/table/transactions", .body = encodeTransaction(transaction), .ifMatch = {} };
                auto json = exchangeJson(options, request, HTTPResponse::HTTP_CONFLICT);
                if (!json)
                    return json.error();
                return decode<TransactionResult>([&] {
                    TransactionResult result;
                    result.committed = json.value().status == HTTPResponse::HTTP_OK;
                    if (result.committed)
                        return result;
                    for (const auto& item : arrayMember(json.value().json, "found"))
                        result.found.push_back({ .key = stringMember(item, "key"), .version = versionMember(item) });
                    return result;
                });
            },
        };
    }

    Objects httpObjects(const HttpPlatformOptions& options)
    {
        return {
            .get = [options](const std::string& key) -> Result<std::optional<Object>> {
                PlatformRequest request { .method = "GET", .path = "/objects/" + encode(key), .body = {}, .ifMatch = {} };
                auto response = exchange(options, request);
                if (!response)
                    return response.error();
                if (response.value().status == HTTPResponse::HTTP_NOT_FOUND)
                    return std::optional<Object>();
                if (response.value().status != HTTPResponse::HTTP_OK)
                    return unexpectedStatus(request, response.value());
                return std::optional(Object { .bytes = response.value().body, .etag = response.value().etag });
            },
            .put = [options](const std::string& key, const std::string& bytes, const std::string& etag) -> Result<std::string> {
                PlatformRequest request { .method = "PUT", .path = "/objects/" + encode(key), .body = bytes, .ifMatch = etag.empty() ? "none" : etag };
                auto response = exchange(options, request);
                if (!response)
                    return response.error();
                if (response.value().status == HTTPResponse::HTTP_PRECONDITION_FAILED)
                    return Error { ResultCode::RecordConflict, "the object was replaced by another writer" };
                if (response.value().status != HTTPResponse::HTTP_OK)
                    return unexpectedStatus(request, response.value());
                return response.value().etag;
            },
        };
    }

    // Members that apply to one kind of instance only, such as `pool` and `peer_address`, may be missing.
    std::string optionalString(const Json::Value& json, const char* name)
    {
        return json.isMember(name) ? stringMember(json, name) : std::string();
    }

    Instance toInstance(const Json::Value& json)
    {
        auto kind = stringMember(json, "kind");
        if (kind != "entry" && kind != "backend")
            throw Json::LogicError("unknown instance kind, expected \"entry\" or \"backend\"");
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
                throw Json::LogicError("the instance list must be a JSON array");
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
