#pragma once

#include <atomic>
#include <string>
#include <vector>

#include "Bench/StandInServer.h"

namespace Bench {

// A relay with POCO's server and client and no decisions: a thread a caller's connection, each with one kept connection
// to a backend server, given out in turn. What a call costs through it is the least that these libraries allow.
class Relay {
public:
    explicit Relay(std::vector<std::string> servers);

    std::string address() const { return m_server.address(); }

private:
    void handle(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

    std::vector<std::string> m_servers;
    std::atomic<std::size_t> m_next { 0 };
    StandInServer m_server;
};

}
