#include "Net/HttpClient.h"

#include <chrono>
#include <optional>
#include <thread>

#include <doctest/doctest.h>

#include "Backends/ScriptedServer.h"
#include "Gateway/GatewayFixture.h"

namespace {

using namespace UnitTests;

// More than the kernel's buffers on both sides hold, so that a part is still to be written when the response ends.
constexpr std::size_t unwritableBytes = 12 * 1024 * 1024;
constexpr std::size_t heldBytes = 1000; // of a response that is answered whole
constexpr std::size_t passedOnBytes = 100'000; // of one that is passed on in parts

// Longer than the server's script takes.
constexpr std::chrono::milliseconds lateClient(40);

// After which the client's kernel gives up a connection to a server that has gone silent.
constexpr std::chrono::milliseconds silenceLimit(400);

const std::string plainHead = "HTTP/1.1 200 OK\r\n\r\n";
const std::string closingHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const std::string oldHead = "HTTP/1.0 200 OK\r\n\r\n";

struct EndCase {
    std::string what;
    std::size_t requestBytes; // of the body
    std::string head;
    Step end;
    bool isWhole;
};

const std::string lengthHead = "HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n";
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n";

const EndCase endCases[] = {
    { "whole request, orderly end", 0, plainHead, ShutdownSend {}, true },
    { "whole request, orderly end, HTTP/1.0", 0, oldHead, ShutdownSend {}, true },
    { "whole request, connection closed", 0, plainHead, CloseConnection {}, true },
    { "whole request, reset", 0, plainHead, ResetConnection {}, false },
    { "whole request, announced close, reset", 0, closingHead, ResetConnection {}, false },
    { "request still being written, reset", unwritableBytes, plainHead, ResetConnection {}, false },
    { "request still being written, announced close, reset", unwritableBytes, closingHead, ResetConnection {}, false },
    { "request still being written, HTTP/1.0, reset", unwritableBytes, oldHead, ResetConnection {}, false },
    { "request still being written, closed with unread bytes", unwritableBytes, plainHead, CloseConnection {}, false },
    { "request still being written, orderly end", unwritableBytes, plainHead, ShutdownSend {}, false },
    { "request still being written, announced close, orderly end", unwritableBytes, closingHead, ShutdownSend {}, true },
    { "request still being written, silence", unwritableBytes, plainHead, HoldConnection {}, false },
    { "request still being written, announced close, silence", unwritableBytes, closingHead, HoldConnection {}, false },
    { "request still being written, HTTP/1.0, silence", unwritableBytes, oldHead, HoldConnection {}, false },
    { "request still being written, length, silence", unwritableBytes, lengthHead, HoldConnection {}, false },
    { "request still being written, chunks, silence", unwritableBytes, chunkedHead, HoldConnection {}, false },
};

void checkEnd(const EndCase& row, std::size_t bodyBytes, std::chrono::milliseconds lateness)
{
    // The server reads nothing more: a client that runs late would write the rest of its request before it sees the response's end.
    ScriptedServer server({ { ReadRequest {}, SendBytes { row.head + std::string(bodyBytes, 'x') }, Delay { std::chrono::milliseconds(5) }, row.end, HoldConnection {} } });
    PlatformStandIn::LoopThread thread;
    std::shared_ptr<Net::ClientConnection> connection;
    std::optional<bool> isWhole;
    std::size_t received = 0;
    thread.call([&] {
        connection = Net::ClientConnection::open(thread.loop(), server.address(), { .deadPeerTimeout = silenceLimit });
        auto request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(row.requestBytes) + "\r\n\r\n" + std::string(row.requestBytes, 'y');
        connection->send(std::move(request), true, std::chrono::seconds(10),
            { .answered = [&](Net::ResponseHead&& head) {
                 received = head.response.body.size();
                 isWhole = true; },
                .failed = [&](const Net::ClientFailure&) { isWhole = false; },
                .started = [&](Net::ResponseHead&& head) { received += head.response.body.size(); },
                .continued = [&](std::string&& part) { received += part.size(); },
                .completed = [&] { isWhole = true; } });
    });
    CHECK(eventually([&] { return server.requests() == 1; }));
    thread.call([&] { std::this_thread::sleep_for(lateness); });
    CHECK(eventually([&] { return thread.call([&] { return isWhole.has_value(); }); }));
    thread.call([&] {
        CHECK(isWhole.value_or(!row.isWhole) == row.isWhole);
        if (row.isWhole)
            CHECK(received == bodyBytes);
        connection.reset();
    });
}

}

// A response without a length ends with its connection. Guards against a part of one that passes for the whole: after a write has
// failed with the reset, or since the kernel has given up a silent connection, reading reports an orderly end.
TEST_CASE("The end of a connection is the end of a body only if nothing failed and the request was not cut off")
{
    for (const auto& row : endCases) {
        for (auto bodyBytes : { heldBytes, passedOnBytes }) {
            for (auto lateness : { std::chrono::milliseconds(0), lateClient }) {
                // A client that runs late sees a silent server no differently.
                if (std::holds_alternative<HoldConnection>(row.end) && lateness == lateClient)
                    continue;
                CAPTURE(row.what);
                CAPTURE(bodyBytes);
                CAPTURE(lateness.count());
                checkEnd(row, bodyBytes, lateness);
            }
        }
    }
}
