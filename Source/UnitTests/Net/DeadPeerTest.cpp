#include "Net/HttpClient.h"

#include <netinet/tcp.h>

#include <doctest/doctest.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace {

int option(Poco::Net::StreamSocket& socket, int name)
{
    int value = 0;
    socket.getOption(IPPROTO_TCP, name, value);
    return value;
}

}

// TCP_USER_TIMEOUT also decides when keep-alive probes give up, whatever their count: at the first probe after it has passed.
TEST_CASE("An idle connection to a dead peer ends within a second after the dead peer timeout")
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    for (int timeoutMs : { 1000, 1500, 2000, 2500, 3000, 4000, 10000 }) {
        CAPTURE(timeoutMs);
        Poco::Net::StreamSocket socket(listener.address());
        CHECK(option(socket, TCP_USER_TIMEOUT) == 0); // the library sets none
        Net::configureSocket(socket, std::chrono::milliseconds(timeoutMs), 0);
        CHECK(socket.getKeepAlive());
        CHECK(socket.getNoDelay());
        CHECK(option(socket, TCP_USER_TIMEOUT) == timeoutMs);
        constexpr int msPerSecond = 1000;
        constexpr int slackMs = 1000;
        auto endMs = msPerSecond * (option(socket, TCP_KEEPIDLE) + option(socket, TCP_KEEPINTVL)); // a first probe has to go unanswered
        while (endMs < timeoutMs)
            endMs += msPerSecond * option(socket, TCP_KEEPINTVL);
        CHECK(endMs <= timeoutMs + slackMs);
    }
}
