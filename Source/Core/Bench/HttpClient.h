#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Bench/EventLoop.h"
#include "Common/Clock.h"

namespace Bench {

enum class ClientEnd {
    Answered,
    NotConnected, // nothing was sent
    Broken, // the connection ended before the whole answer
    TimedOut,
};

struct ClientAnswer {
    ClientEnd end = ClientEnd::NotConnected;
    int status = 0;
    std::string head;
    std::string body;
};

using ClientDone = std::function<void(const ClientAnswer&)>;

struct ClientRequest {
    std::string address; // ip:port
    std::string text; // head and body as sent
    Common::Duration timeout = std::chrono::seconds(5);
    ClientDone done;
};

class ClientConnection;

// HTTP/1.1 over kept connections, as many as are needed at once. It belongs to one loop.
class HttpClient {
public:
    explicit HttpClient(EventLoop& loop)
        : m_loop(loop)
    {
    }

    void send(ClientRequest);
    std::size_t connections() const { return m_connections; }

private:
    friend class ClientConnection;

    EventLoop& m_loop;
    std::unordered_map<std::string, std::vector<std::shared_ptr<ClientConnection>>> m_idle;
    std::size_t m_connections = 0; // opened in all
};

// "METHOD path HTTP/1.1" with headers and a body, as one text. `headers` are whole lines, each ended.
std::string requestText(const std::string& method, const std::string& path, const std::string& headers, const std::string& body);

}
