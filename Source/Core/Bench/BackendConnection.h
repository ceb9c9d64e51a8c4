#pragma once

#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Bench/BackendServer.h"

namespace Bench {

// One connection of a backend stand-in: one request at a time, like the entries that use it.
class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
public:
    BackendConnection(boost::asio::ip::tcp::socket, BackendServer&);

    void start(Common::Duration acceptDelay);
    // Answers the request at hand, as the server's faults allow.
    void answer(const BackendAnswerText&);
    // Ends the connection with a reset.
    void reset();
    // From here on nothing is answered and the end is never told.
    void goSilent() { m_silent = true; }
    bool hasEnded() const { return m_ended || m_silent; }

private:
    using ErrorCode = boost::system::error_code;

    void read();
    void received();
    void serve(std::size_t headBytes);
    void end();
    void write(std::string text, bool thenEnd);
    void writeThenReset(const std::string& text);
    std::string headText(const BackendAnswerText&, std::string_view length);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<BackendServer> m_server;
    std::string m_input;
    std::string m_output;
    std::array<char, 8192> m_piece {};
    bool m_busy = false; // a request is being served
    bool m_ended = false;
    bool m_silent = false;
};

}
