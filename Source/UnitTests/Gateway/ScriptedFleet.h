#pragma once

#include <memory>
#include <string>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "Backends/ScriptedServer.h"
#include "Gateway/GatewayFixture.h"

namespace UnitTests {

// No byte repeats at a short distance, so that a lost or doubled piece shows.
inline std::string bodyOf(std::size_t bytes)
{
    std::string body;
    for (std::size_t i = 0; body.size() < bytes; ++i)
        body += fmt::format("{:x}.", i);
    body.resize(bytes);
    return body;
}

inline std::string chunked(const std::string& body, std::size_t chunkBytes)
{
    std::string bytes;
    for (std::size_t at = 0; at < body.size(); at += chunkBytes) {
        auto chunk = body.substr(at, chunkBytes);
        bytes += fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
    }
    return bytes + "0\r\n\r\n";
}

// Answer to a load probe of the server "raw".
inline std::string healthAnswer()
{
    return std::string("HTTP/1.1 200 OK\r\n") + Names::instanceId + ": raw\r\n" + Names::load + ": 0,0,4,100\r\nContent-Length: 0\r\n\r\n";
}

// Registry row of a server with the id "raw" at the given address. To be called on the loop's thread.
inline std::string registeredAt(GatewayFixture& fixture, const std::string& address)
{
    auto value = PlatformStandIn::Server(fixture.thread.loop(), fixture.runs, { .id = "raw" }).registryValue();
    auto at = value.find("127.0.0.1:");
    value.replace(at, value.find('"', at) - at, address);
    return value;
}

// A gateway whose only server follows `steps` after it has answered a load probe and read a request.
class ScriptedFleet {
public:
    explicit ScriptedFleet(const Script& steps)
        : server({ script(steps) })
        , fixture(0)
    {
        fixture.thread.call([&] { fixture.store->put(Names::registryTable, "raw", registeredAt(fixture, server.address())); });
        gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
    }

    static Script script(const Script& steps)
    {
        Script whole { ReadRequest {}, SendBytes { healthAnswer() }, ReadRequest {} };
        whole.insert(whole.end(), steps.begin(), steps.end());
        return whole;
    }

    ScriptedServer server;
    GatewayFixture fixture;
    std::unique_ptr<RunningGateway> gateway;
};

}
