#pragma once

#include <memory>

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include "Peers/JsonRpc/JsonRpc.h"
#include "Peers/MessageSeal.h"

namespace Peers {

// JSON-RPC over HTTP for other entries and operators: POST /rpc with a sealed request, answered by a sealed answer that
// repeats the request's signature. Anything else is 403 or 404 and changes nothing.
class PeerServer {
public:
    // `socket` listens; `refused` is told why a request was refused.
    PeerServer(const Poco::Net::ServerSocket&, MessageSeal&, std::function<void(const std::string& reason)> refused);
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    // Before start().
    void addMethod(const std::string& name, JsonRpcHandler handler) { m_rpc.addMethod(name, std::move(handler)); }
    void start();
    void stop();

private:
    Poco::Net::ServerSocket m_socket;
    MessageSeal& m_seal;
    std::function<void(const std::string&)> m_refused;
    JsonRpcServer m_rpc;
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

}
