#include "Peers/JsonRpc/JsonRpc.h"

#include <map>

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserver.h>

namespace Peers {

namespace {

    // Hands requests to the library and keeps the answer for the caller.
    class ServerConnector : public jsonrpc::AbstractServerConnector {
    public:
        bool StartListening() override { return true; }
        bool StopListening() override { return true; }
        bool SendResponse(const std::string& response, void* addInfo) override
        {
            *static_cast<std::string*>(addInfo) = response;
            return true;
        }
    };

    // A base class, since the server's base class takes the connector before members are made.
    class ConnectorOwner {
    protected:
        ServerConnector m_connector;
    };

    class ClientConnector : public jsonrpc::IClientConnector {
    public:
        explicit ClientConnector(const std::function<std::string(const std::string&)>& transport)
            : m_transport(transport)
        {
        }

        // Anything else thrown through the library's exception specification would end the program.
        void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override
        {
            try {
                result = m_transport(message);
            } catch (const std::exception& ec) {
                throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, ec.what());
            }
        }

    private:
        const std::function<std::string(const std::string&)>& m_transport;
    };

}

class JsonRpcServer::Dispatcher : private ConnectorOwner, public jsonrpc::AbstractServer<Dispatcher> {
public:
    Dispatcher()
        : AbstractServer(m_connector)
    {
    }

    void add(const std::string& name, JsonRpcHandler run)
    {
        m_handlers[name] = std::move(run);
        jsonrpc::Procedure procedure;
        procedure.SetProcedureName(name);
        procedure.SetProcedureType(jsonrpc::RPC_METHOD);
        procedure.SetReturnType(jsonrpc::JSON_OBJECT);
        procedure.SetParameterDeclarationType(jsonrpc::PARAMS_BY_NAME);
        bindAndAddMethod(procedure, &Dispatcher::unused);
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
    {
        try {
            output = m_handlers.at(procedure.GetProcedureName())(input);
        } catch (const std::exception& ec) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, ec.what());
        }
    }

    std::string handle(const std::string& request)
    {
        std::string answer;
        m_connector.OnRequest(request, &answer);
        return answer;
    }

private:
    void unused(const Json::Value&, Json::Value&) { }

    std::map<std::string, JsonRpcHandler> m_handlers;
};

JsonRpcServer::JsonRpcServer()
    : m_dispatcher(new Dispatcher)
{
}

JsonRpcServer::~JsonRpcServer() = default;

void JsonRpcServer::addMethod(const std::string& name, JsonRpcHandler handler)
{
    m_dispatcher->add(name, std::move(handler));
}

std::string JsonRpcServer::handle(const std::string& request)
{
    return m_dispatcher->handle(request);
}

JsonRpcAnswer callJsonRpc(const std::function<std::string(const std::string&)>& transport, const std::string& method, const Json::Value& parameters)
{
    JsonRpcAnswer answer;
    try {
        ClientConnector connector(transport);
        jsonrpc::Client client(connector);
        answer.result = client.CallMethod(method, parameters);
        answer.ok = true;
    } catch (const std::exception& ec) {
        answer.error = ec.what();
    }
    return answer;
}

}
