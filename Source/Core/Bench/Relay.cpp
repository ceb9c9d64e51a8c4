#include "Bench/Relay.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

namespace Bench {

namespace {

    constexpr int maxConnections = 1024;

}

Relay::Relay(std::vector<std::string> servers)
    : m_servers(std::move(servers))
    , m_server([this](auto& request, auto& response) { handle(request, response); }, maxConnections)
{
}

void Relay::handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    thread_local std::unique_ptr<Poco::Net::HTTPClientSession> session;
    thread_local const Relay* owner = nullptr;
    if (owner != this) {
        session = std::make_unique<Poco::Net::HTTPClientSession>(Poco::Net::SocketAddress(m_servers[m_next++ % m_servers.size()]));
        session->setKeepAlive(true);
        session->setKeepAliveTimeout(Poco::Timespan(60, 0));
        owner = this;
    }
    try {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        Poco::Net::HTTPRequest forward(request.getMethod(), request.getURI(), Poco::Net::HTTPRequest::HTTP_1_1);
        forward.set("Idempotency-Key", request.get("Idempotency-Key", ""));
        if (request.hasContentLength())
            forward.setContentLength(static_cast<std::streamsize>(body.size()));
        auto& out = session->sendRequest(forward);
        // Else a body waits for the head's acknowledgement.
        session->socket().setNoDelay(true);
        out.write(body.data(), static_cast<std::streamsize>(body.size()));
        Poco::Net::HTTPResponse answer;
        std::string answerBody;
        Poco::StreamCopier::copyToString(session->receiveResponse(answer), answerBody);
        response.setStatus(answer.getStatus());
        response.sendBuffer(answerBody.data(), answerBody.size());
    } catch (const Poco::Exception&) {
        session->reset();
        response.setStatus(Poco::Net::HTTPResponse::HTTP_BAD_GATEWAY);
        response.sendBuffer("", 0);
    }
}

}
