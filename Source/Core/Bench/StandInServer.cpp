#include "Bench/StandInServer.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/ServerSocket.h>

namespace Bench {

namespace {

    class HookHandler : public Poco::Net::HTTPRequestHandler {
    public:
        explicit HookHandler(const HttpHandler& handler)
            : m_handler(handler)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            m_handler(request, response);
        }

    private:
        const HttpHandler& m_handler;
    };

    class HookHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit HookHandlerFactory(HttpHandler handler)
            : m_handler(std::move(handler))
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
        {
            return new HookHandler(m_handler);
        }

    private:
        HttpHandler m_handler;
    };

}

StandInServer::StandInServer(HttpHandler handler, int maxConnections)
    : m_threads("stand-in", 2, maxConnections)
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(maxConnections);
    params->setMaxQueued(maxConnections);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    socket.listen();
    m_server = std::make_unique<Poco::Net::HTTPServer>(new HookHandlerFactory(std::move(handler)), m_threads, socket, params);
    m_server->start();
}

StandInServer::~StandInServer()
{
    m_server->stopAll(true);
    m_server.reset();
    m_threads.stopAll();
}

std::string StandInServer::address() const
{
    return m_server->socket().address().toString();
}

}
