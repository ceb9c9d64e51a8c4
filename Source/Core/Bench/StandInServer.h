#pragma once

#include <functional>
#include <memory>
#include <string>

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

namespace Bench {

using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

// An HTTP server on loopback for stand-ins, a thread a connection; the kernel chooses the port.
class StandInServer {
public:
    StandInServer(HttpHandler, int maxConnections);
    ~StandInServer();
    StandInServer(const StandInServer&) = delete;
    StandInServer& operator=(const StandInServer&) = delete;

    std::string address() const;

private:
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

}
