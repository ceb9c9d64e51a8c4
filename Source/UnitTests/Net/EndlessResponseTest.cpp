#include "Net/HttpClient.h"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <doctest/doctest.h>

#include "platform/StandIn/LoopThread.h"

namespace {

using Net::FailureKind;

const std::string head = "HTTP/1.1 200 OK\r\n";

struct EndlessCase {
    std::string name;
    std::string begin; // sent once
    std::string repeated; // until the client closes
    bool isStale = false; // the response belongs to another request
    FailureKind failure = FailureKind::Malformed;
};

const EndlessCase endlessCases[] = {
    { "a status line without end", "HTTP/1.1 200 ", std::string(1000, 'x') },
    { "bytes that are no response", "", std::string(1000, '\x07') },
    { "headers without end", head, "X-Filler: " + std::string(500, 'x') + "\r\n" },
    { "interim responses without end", "", "HTTP/1.1 103 Early Hints\r\nLink: " + std::string(500, 'x') + "\r\n\r\n" },
    { "a chunk size without end", head + "Transfer-Encoding: chunked\r\n\r\n", std::string(1000, '0') },
    { "chunk extensions without end", head + "Transfer-Encoding: chunked\r\n\r\n1;", std::string(1000, 'x') },
    { "trailers without end", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: " + std::string(500, 'x') + "\r\n" },
    { "a body without end", head + "\r\n", std::string(1000, 'x'), false, FailureKind::TooLarge },
    { "chunks without end", head + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + std::string(1000, 'x') + "\r\n", false, FailureKind::TooLarge },
    { "a stale response with a body without end", head + "\r\n", std::string(1000, 'x'), true, FailureKind::TooLarge },
};

// Accepts one connection and sends on it until the client closes it.
class EndlessServer {
public:
    explicit EndlessServer(const EndlessCase& row)
        : m_listener(Poco::Net::SocketAddress("127.0.0.1:0"))
        , m_thread([this, row] { run(row); })
    {
    }
    ~EndlessServer() { m_thread.join(); }
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

    std::string address() const { return m_listener.address().toString(); }
    std::size_t bytesSent() const { return m_bytesSent; }

private:
    void run(const EndlessCase& row)
    {
        constexpr auto pause = std::chrono::milliseconds(1);
        constexpr std::size_t burst = 32 * 1024;
        std::string bytes;
        while (bytes.size() < burst)
            bytes += row.repeated;
        try {
            auto socket = m_listener.acceptConnection();
            socket.sendBytes(row.begin.data(), static_cast<int>(row.begin.size()));
            while (true) {
                m_bytesSent += static_cast<std::size_t>(socket.sendBytes(bytes.data(), static_cast<int>(bytes.size())));
                std::this_thread::sleep_for(pause);
            }
        } catch (const Poco::Exception&) {
            // The client has closed the connection.
        }
    }

    Poco::Net::ServerSocket m_listener;
    std::atomic<std::size_t> m_bytesSent = 0;
    std::thread m_thread;
};

}

TEST_CASE("A response without end is given up after bounded bytes, long before the request's time limit")
{
    constexpr std::size_t maxBody = 256 * 1024;
    constexpr std::size_t maxSent = 1024 * 1024;
    constexpr auto limit = std::chrono::seconds(5);
    for (const auto& row : endlessCases) {
        CAPTURE(row.name);
        PlatformStandIn::LoopThread thread;
        EndlessServer server(row);
        std::shared_ptr<Net::ClientConnection> connection;
        std::atomic<bool> failed = false;
        std::atomic<bool> answered = false;
        FailureKind kind {};
        thread.call([&] {
            connection = Net::ClientConnection::open(thread.loop(), server.address(), {});
            connection->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n", true, limit,
                { .answered = [&](Net::ResponseHead&&) { answered = true; },
                    .failed = [&](const Net::ClientFailure& failure) {
                        kind = failure.kind;
                        failed = true; },
                    .matchesRequest = [&](const Net::ResponseHead&) { return !row.isStale; },
                    .maxBodyBytes = maxBody });
        });
        for (auto end = std::chrono::steady_clock::now() + limit; !failed && std::chrono::steady_clock::now() < end;)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        CHECK(server.bytesSent() <= maxSent);
        CHECK(failed);
        CHECK(kind == row.failure);
        CHECK(!answered);
        thread.call([&] { connection->close(); });
    }
}
