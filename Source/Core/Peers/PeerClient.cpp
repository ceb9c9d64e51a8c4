#include "Peers/PeerClient.h"

#include <stdexcept>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include "Peers/JsonRpc/JsonRpc.h"

namespace Peers {

namespace {

    constexpr std::size_t largestAnswerBytes = 64 * 1024 * 1024;

    class RefusedError : public std::runtime_error {
    public:
        using runtime_error::runtime_error;
    };

}

PeerClient::PeerClient(const PeerClientOptions& options)
    : m_timeout(options.timeout)
    , m_seal({ .key = options.sharedKey, .self = options.self, .run = static_cast<std::uint64_t>(Common::wallMilliseconds()), .wallMs = Common::wallMilliseconds })
{
}

Common::Result<Json::Value> PeerClient::call(const std::string& address, const std::string& method, const Json::Value& parameters) const
{
    auto code = Common::ResultCode::PeerUnreachable;
    auto transport = [&](const std::string& request) {
        try {
            return exchange(address, request);
        } catch (const RefusedError&) {
            code = Common::ResultCode::PeerRefused;
            throw;
        } catch (const Poco::Exception& ec) {
            throw std::runtime_error(ec.displayText());
        }
    };
    auto answer = callJsonRpc(transport, method, parameters);
    if (!answer.ok)
        return Common::Error { code, address + ": " + answer.error };
    return answer.result;
}

std::string PeerClient::exchange(const std::string& address, const std::string& request) const
{
    Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(address) };
    session.setTimeout(Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(m_timeout).count()));
    auto body = m_seal.seal(Purpose::Request, address, request);
    Poco::Net::HTTPRequest head(Poco::Net::HTTPRequest::HTTP_POST, "/rpc", Poco::Net::HTTPRequest::HTTP_1_1);
    head.setContentType("application/octet-stream");
    head.setContentLength(static_cast<std::streamsize>(body.size()));
    head.setKeepAlive(false);
    session.sendRequest(head) << body;
    Poco::Net::HTTPResponse response;
    auto& in = session.receiveResponse(response);
    if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_FORBIDDEN)
        throw RefusedError("the entry refused the request; is the shared key right?");
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
        throw std::runtime_error("status " + std::to_string(response.getStatus()));
    if (!response.hasContentLength() || response.getContentLength64() > static_cast<Poco::Int64>(largestAnswerBytes))
        throw std::runtime_error("the answer is too large or of unknown length");
    std::string bytes;
    Poco::StreamCopier::copyToString(in, bytes);
    // A body cut short fails here as well.
    auto opened = m_seal.open(Purpose::Answer, bytes);
    if (!opened)
        throw RefusedError("the answer is not signed by the entry: " + opened.error().text);
    const auto& payload = opened.value().payload;
    auto ownTag = body.substr(body.size() - MessageSeal::tagBytes);
    if (!payload.starts_with(ownTag) || opened.value().sender != address)
        throw RefusedError("the answer belongs to another request");
    return payload.substr(ownTag.size());
}

}
