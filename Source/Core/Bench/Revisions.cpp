#include "Bench/Revisions.h"

#include <thread>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <json/json.h>

namespace Bench {

namespace {

    std::uint64_t revisionOf(const std::string& entry, const std::string& service)
    {
        try {
            Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(entry) };
            Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, "/v1/entries?service=" + service, Poco::Net::HTTPRequest::HTTP_1_1);
            session.sendRequest(request);
            Poco::Net::HTTPResponse response;
            Json::Value json;
            Json::parseFromStream(Json::CharReaderBuilder(), session.receiveResponse(response), &json, nullptr);
            return json["revision"].asUInt64();
        } catch (const Poco::Exception&) {
            return 0;
        } catch (const Json::Exception&) {
            return 0;
        }
    }

}

double waitInForce(const std::vector<std::string>& entries, const std::string& service, std::uint64_t revision, Common::TimePoint begun)
{
    constexpr auto limit = std::chrono::seconds(20);
    constexpr auto interval = std::chrono::milliseconds(20);
    auto waiting = entries;
    while (!waiting.empty() && std::chrono::steady_clock::now() - begun < limit) {
        std::erase_if(waiting, [&](const auto& entry) { return revisionOf(entry, service) >= revision; });
        if (!waiting.empty())
            std::this_thread::sleep_for(interval);
    }
    return Common::toMilliseconds(std::chrono::steady_clock::now() - begun);
}

}
