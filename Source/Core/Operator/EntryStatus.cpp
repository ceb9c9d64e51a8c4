#include "Operator/EntryStatus.h"

#include <memory>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <json/json.h>

namespace Operator {

namespace {

    using Common::Error;
    using Common::Result;
    using Common::ResultCode;

    Result<EntryStatus> parseStatus(const std::string& text)
    {
        Json::Value json;
        std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
        auto parsed = reader->parse(text.data(), text.data() + text.size(), &json, nullptr);
        if (!parsed || !json.isObject() || !json["revision"].isUInt64() || !json["not_understood"].isArray())
            return Error { ResultCode::PeerUnreachable, "the answer is not a status" };
        EntryStatus status { .revision = json["revision"].asUInt64(), .notUnderstood = {} };
        for (const auto& service : json["not_understood"]) {
            if (service.isString())
                status.notUnderstood.push_back(service.asString());
        }
        return status;
    }

}

Result<EntryStatus> askEntryStatus(const std::string& address)
{
    constexpr long timeoutUs = 500'000;
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(address) };
        session.setTimeout(Poco::Timespan(timeoutUs));
        Poco::Net::HTTPRequest request("GET", "/v1/status", Poco::Net::HTTPRequest::HTTP_1_1);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
            return Error { ResultCode::PeerUnreachable, "status " + std::to_string(response.getStatus()) };
        return parseStatus(body);
    } catch (const Poco::Exception& ec) {
        return Error { ResultCode::PeerUnreachable, ec.displayText() };
    }
}

}
