#include "Peers/PeerServer.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace Peers {

namespace {

    using Poco::Net::HTTPResponse;

    constexpr int maxThreads = 8;
    constexpr int maxQueued = 64;
    constexpr int stackBytes = 256 * 1024;
    constexpr std::size_t maxRequestBytes = 256 * 1024;
    const Poco::Timespan requestTimeout(5, 0);

    struct Context {
        MessageSeal& seal;
        JsonRpcServer& rpc;
        std::function<void(const std::string&)> refused;
    };

    class RpcHandler : public Poco::Net::HTTPRequestHandler {
    public:
        explicit RpcHandler(const Context& context)
            : m_context(context)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            if (request.getMethod() != "POST" || request.getURI() != "/rpc")
                return refuse(response, HTTPResponse::HTTP_NOT_FOUND);
            auto length = request.getContentLength64();
            if (length <= 0 || length > static_cast<Poco::Int64>(maxRequestBytes)) {
                m_context.refused("length");
                return refuse(response, HTTPResponse::HTTP_LENGTH_REQUIRED);
            }
            std::string body(static_cast<std::size_t>(length), '\0');
            request.stream().read(body.data(), length);
            body.resize(static_cast<std::size_t>(request.stream().gcount()));
            auto opened = m_context.seal.open(Purpose::Request, body);
            if (!opened) {
                m_context.refused(opened.error().text);
                return refuse(response, HTTPResponse::HTTP_FORBIDDEN);
            }
            auto answer = m_context.seal.seal(Purpose::Answer, opened.value().sender, opened.value().tag + m_context.rpc.handle(opened.value().payload));
            response.setContentType("application/octet-stream");
            response.sendBuffer(answer.data(), answer.size());
        }

    private:
        static void refuse(Poco::Net::HTTPServerResponse& response, HTTPResponse::HTTPStatus status)
        {
            response.setStatusAndReason(status);
            response.setKeepAlive(false);
            response.setContentLength(0);
            response.send();
        }

        const Context& m_context;
    };

    class RpcHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit RpcHandlerFactory(Context context)
            : m_context(std::move(context))
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override { return new RpcHandler(m_context); }

    private:
        Context m_context;
    };

}

PeerServer::PeerServer(const Poco::Net::ServerSocket& socket, MessageSeal& seal, std::function<void(const std::string&)> refused)
    : m_socket(socket)
    , m_seal(seal)
    , m_refused(std::move(refused))
    , m_threads("peers", 1, maxThreads, 60, stackBytes)
{
}

PeerServer::~PeerServer()
{
    stop();
}

void PeerServer::start()
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(maxThreads);
    params->setMaxQueued(maxQueued);
    params->setTimeout(requestTimeout);
    params->setKeepAlive(false);
    m_server = std::make_unique<Poco::Net::HTTPServer>(new RpcHandlerFactory({ .seal = m_seal, .rpc = m_rpc, .refused = m_refused }), m_threads, m_socket, params);
    m_server->start();
}

void PeerServer::stop()
{
    if (!m_server)
        return;
    m_server->stopAll(true);
    m_threads.joinAll();
    m_server.reset();
    // Else the system goes on taking connections that nobody serves.
    m_socket.close();
}

}
