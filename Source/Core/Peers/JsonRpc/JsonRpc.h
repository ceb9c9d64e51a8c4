#pragma once

#include <functional>
#include <memory>
#include <string>

#include <json/value.h>

// C++14 only: this header is also read by the one source that includes libjsonrpccpp.
namespace Peers {

// Takes the named parameters and returns an object; an exception becomes a JSON-RPC error with its text.
using JsonRpcHandler = std::function<Json::Value(const Json::Value& parameters)>;

// JSON-RPC 2.0 on the serving side, without a transport. Methods are added before the first request; then thread-safe.
class JsonRpcServer {
public:
    JsonRpcServer();
    ~JsonRpcServer();
    JsonRpcServer(const JsonRpcServer&) = delete;
    JsonRpcServer& operator=(const JsonRpcServer&) = delete;

    void addMethod(const std::string& name, JsonRpcHandler);
    // The answer to one request, both as JSON text.
    std::string handle(const std::string& request);

private:
    class Dispatcher;
    std::unique_ptr<Dispatcher> m_dispatcher;
};

struct JsonRpcAnswer {
    bool ok = false;
    Json::Value result;
    std::string error; // where not ok
};

// One call over a transport that takes the request's text and returns the answer's; the transport may throw.
JsonRpcAnswer callJsonRpc(const std::function<std::string(const std::string&)>& transport, const std::string& method, const Json::Value& parameters);

}
