#include "Bench/HttpClient.h"

#include <algorithm>
#include <array>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "Bench/HttpText.h"

namespace Bench {

namespace {

    namespace Asio = boost::asio;

    using ErrorCode = boost::system::error_code;
    using Tcp = Asio::ip::tcp;

    Tcp::endpoint endpointOf(const std::string& address)
    {
        auto colon = address.rfind(':');
        return { Asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(toInteger(std::string_view(address).substr(colon + 1))) };
    }

}

// A kept connection: it reads all the time, so that its end is noticed while idle.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    ClientConnection(HttpClient& client, std::string address)
        : m_client(client)
        , m_address(std::move(address))
        , m_socket(client.m_loop.context())
        , m_timer(client.m_loop.context())
    {
    }

    void begin(ClientRequest request)
    {
        m_request = std::move(request);
        m_input.clear();
        m_timer.expires_after(m_request.timeout);
        // A wait that ended just as the answer came must not end the request after it.
        m_timer.async_wait([self = shared_from_this(), number = ++m_number](const ErrorCode& ec) {
            if (!ec && number == self->m_number && self->m_request.done)
                self->finish({ .end = self->m_connected ? ClientEnd::TimedOut : ClientEnd::NotConnected, .status = 0, .head = {}, .body = {} });
        });
        if (m_connected)
            return write();
        m_socket.async_connect(endpointOf(m_address), [self = shared_from_this()](const ErrorCode& ec) {
            if (ec)
                return self->finish({});
            ErrorCode ignored;
            self->m_socket.set_option(Tcp::no_delay(true), ignored);
            self->m_connected = true;
            self->write();
            self->read();
        });
    }

private:
    void write()
    {
        Asio::async_write(m_socket, Asio::buffer(m_request.text), [self = shared_from_this()](const ErrorCode& ec, std::size_t) {
            if (ec)
                self->finish({ .end = ClientEnd::Broken, .status = 0, .head = {}, .body = {} });
        });
    }

    void read()
    {
        m_socket.async_read_some(Asio::buffer(m_piece), [self = shared_from_this()](const ErrorCode& ec, std::size_t n) {
            if (self->m_closed)
                return;
            // Bytes that nobody asked for end the connection as an error does.
            if (ec || !self->m_request.done)
                return self->finish({ .end = ClientEnd::Broken, .status = 0, .head = {}, .body = {} });
            self->m_input.append(self->m_piece.data(), n);
            self->received();
            if (!self->m_closed)
                self->read();
        });
    }

    void received()
    {
        auto headBytes = headLength(m_input);
        if (!headBytes)
            return;
        auto head = std::string_view(m_input).substr(0, *headBytes);
        auto length = contentLength(head).value_or(0);
        if (m_input.size() < *headBytes + length)
            return;
        constexpr std::size_t statusAt = 9;
        constexpr std::size_t statusLength = 3;
        ClientAnswer answer {
            .end = ClientEnd::Answered,
            .status = toInteger(head.substr(std::min(statusAt, head.size()), statusLength)),
            .head = std::string(head),
            .body = m_input.substr(*headBytes),
        };
        finish(answer);
    }

    void finish(const ClientAnswer& answer)
    {
        if (m_closed)
            return;
        m_timer.cancel();
        auto connection = headerValue(answer.head, "Connection");
        auto reusable = answer.end == ClientEnd::Answered && connection != "close" && connection != "Close";
        auto done = std::exchange(m_request.done, nullptr);
        if (reusable)
            m_client.m_idle[m_address].push_back(shared_from_this());
        else
            close();
        if (done)
            done(answer);
    }

    void close()
    {
        m_closed = true;
        ErrorCode ignored;
        m_socket.close(ignored);
        auto& idle = m_client.m_idle[m_address];
        std::erase(idle, shared_from_this());
    }

    HttpClient& m_client;
    std::string m_address;
    Tcp::socket m_socket;
    Asio::steady_timer m_timer;
    ClientRequest m_request;
    std::string m_input;
    std::array<char, 8192> m_piece {};
    std::uint64_t m_number = 0; // of the request at hand
    bool m_connected = false;
    bool m_closed = false;
};

void HttpClient::send(ClientRequest request)
{
    auto& idle = m_idle[request.address];
    std::shared_ptr<ClientConnection> connection;
    if (!idle.empty()) {
        connection = std::move(idle.back());
        idle.pop_back();
    } else {
        connection = std::make_shared<ClientConnection>(*this, request.address);
        ++m_connections;
    }
    connection->begin(std::move(request));
}

std::string requestText(const std::string& method, const std::string& path, const std::string& headers, const std::string& body)
{
    auto length = body.empty() && method == "GET" ? std::string() : fmt::format("Content-Length: {}\r\n", body.size());
    return fmt::format("{} {} HTTP/1.1\r\nHost: bench\r\n{}{}\r\n{}", method, path, headers, length, body);
}

}
