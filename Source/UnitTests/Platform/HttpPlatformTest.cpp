#include "Platform/HttpPlatform.h"

#include <atomic>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

namespace {

using Common::ResultCode;

// Sends the next of its scripted responses, verbatim, on each connection and closes it. With `thenSilent` it keeps the
// connection open until the server ends.
class ScriptedServer {
public:
    explicit ScriptedServer(std::vector<std::string> responses, bool thenSilent = false)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this, responses = std::move(responses), thenSilent] { serve(responses, thenSilent); })
    {
    }

    ~ScriptedServer()
    {
        m_ending = true;
        m_thread.join();
    }

    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    Platform::Services platform(std::size_t maxResponseBytes = 4096)
    {
        return Platform::httpPlatform({ .address = m_socket.address().toString(), .timeout = std::chrono::milliseconds(300), .maxResponseBytes = maxResponseBytes });
    }

private:
    void serve(const std::vector<std::string>& responses, bool thenSilent)
    {
        constexpr long pollUs = 20'000;
        for (const auto& response : responses) {
            while (!m_ending && !m_socket.poll(Poco::Timespan(pollUs), Poco::Net::Socket::SELECT_READ)) { }
            if (m_ending)
                return;
            auto connection = m_socket.acceptConnection();
            std::array<char, 4096> buf {};
            connection.receiveBytes(buf.data(), buf.size());
            connection.sendBytes(response.data(), static_cast<int>(response.size()));
            while (thenSilent && !m_ending)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            connection.shutdownSend();
            connection.setReceiveTimeout(Poco::Timespan(pollUs));
        }
    }

    std::atomic<bool> m_ending { false };
    Poco::Net::ServerSocket m_socket;
    std::thread m_thread;
};

std::string httpResponse(const std::string& status, const std::string& body, std::size_t missingBytes = 0)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size() + missingBytes) + "\r\n\r\n" + body;
}

struct BadResponse {
    const char* what;
    std::string response;
    ResultCode code;
};

// Responses that every request to the platform has to report as an error.
std::vector<BadResponse> badResponses()
{
    return {
        { "connection closed without a response", "", ResultCode::StoreUnavailable },
        { "truncated head", "HTTP/1.1 200 OK\r\nContent-", ResultCode::StoreUnavailable },
        { "body shorter than Content-Length", httpResponse("200 OK", "{}", 5), ResultCode::StoreUnavailable },
        { "truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{\"key\":", ResultCode::StoreProtocol },
        { "body without a length", "HTTP/1.1 200 OK\r\n\r\n{}", ResultCode::StoreProtocol },
        { "status 000", httpResponse("000 Zero", "{}"), ResultCode::StoreProtocol },
        { "status 600", httpResponse("600 Odd", "{}"), ResultCode::StoreProtocol },
        { "blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}", ResultCode::StoreProtocol },
        { "not JSON", httpResponse("200 OK", "<html>"), ResultCode::StoreProtocol },
        { "empty body", httpResponse("200 OK", ""), ResultCode::StoreProtocol },
        { "JSON number instead of an object", httpResponse("200 OK", "7"), ResultCode::StoreProtocol },
        { "empty object", httpResponse("200 OK", "{}"), ResultCode::StoreProtocol },
        { "429: rate limited", httpResponse("429 Too Many Requests", "{}"), ResultCode::StoreUnavailable },
        { "500: server error", httpResponse("500 Internal Server Error", "{}"), ResultCode::StoreUnavailable },
        { "503: unavailable", httpResponse("503 Service Unavailable", "{}"), ResultCode::StoreUnavailable },
        { "403: forbidden", httpResponse("403 Forbidden", "{}"), ResultCode::StoreProtocol },
        { "body over the size limit", httpResponse("200 OK", std::string(5000, ' ') + "{}"), ResultCode::StoreProtocol },
    };
}

}

TEST_CASE("an invalid response of the platform is an error, never a row, a list or an empty list")
{
    for (const auto& bad : badResponses()) {
        CAPTURE(bad.what);
        ScriptedServer server({ bad.response, bad.response, bad.response });
        auto platform = server.platform();
        auto row = platform.table.get("k");
        REQUIRE_FALSE(row);
        CHECK(row.error().code == bad.code);
        auto rows = platform.table.scan({ .prefix = "k", .after = {} });
        REQUIRE_FALSE(rows);
        CHECK(rows.error().code == bad.code);
        auto instances = platform.instances();
        REQUIRE_FALSE(instances);
        CHECK(instances.error().code == bad.code);
    }
}

TEST_CASE("only a complete response tells that a transaction was committed or refused")
{
    const Platform::Transaction transaction { .conditions = { { "k", 1 } }, .writes = { { "k", "v" } } };
    for (const auto& response : {
             httpResponse("200 OK", "{}", 1),
             httpResponse("409 Conflict", "{\"found\":", 1),
             httpResponse("409 Conflict", "{}"),
             httpResponse("409 Conflict", R"({"found":[{"key":"k","version":"1"}]})"),
             httpResponse("404 Not Found", "{}"),
             std::string(),
         }) {
        CAPTURE(response);
        ScriptedServer server({ response });
        CHECK_FALSE(server.platform().table.commit(transaction));
    }
    ScriptedServer server({ httpResponse("200 OK", "{}"), httpResponse("409 Conflict", R"({"found":[{"key":"k","version":2}]})") });
    auto platform = server.platform();
    CHECK(platform.table.commit(transaction).value().committed);
    auto refused = platform.table.commit(transaction).value();
    CHECK_FALSE(refused.committed);
    CHECK(refused.found.at(0).version == 2);
}

TEST_CASE("malformed rows and instances are rejected")
{
    const std::string rows[] = {
        R"({"key":"k","value":"v"})",
        R"({"key":"k","value":"v","version":0})",
        R"({"key":"k","value":"v","version":"1"})",
        R"({"key":"k","value":7,"version":1})",
        R"({"key":"other","value":"v","version":1})",
        R"({"key":"k","version":1})",
    };
    for (const auto& row : rows) {
        CAPTURE(row);
        ScriptedServer server({ httpResponse("200 OK", row), httpResponse("200 OK", R"({"rows":[{"key":"j","value":"v","version":1},)" + row + "]}") });
        auto platform = server.platform();
        CHECK_FALSE(platform.table.get("k"));
        CHECK_FALSE(platform.table.scan({ .prefix = "k", .after = {} }));
    }
    const std::string instances[] = {
        R"([{"address":"x","kind":"entry","failure_domain":"a","state":"live"}])",
        R"([{"address":"127.0.0.1:1","kind":"shop","failure_domain":"a","state":"live"}])",
        R"([{"address":"127.0.0.1:1","kind":"entry","state":"live"}])",
        R"([7])",
    };
    for (const auto& list : instances) {
        CAPTURE(list);
        ScriptedServer server({ httpResponse("200 OK", list) });
        CHECK_FALSE(server.platform().instances());
    }
    ScriptedServer server({ httpResponse("404 Not Found", "{}"), httpResponse("200 OK", R"({"key":"k","value":"v","version":3})") });
    auto platform = server.platform();
    CHECK(platform.table.get("k").value().version == 0);
    CHECK(platform.table.get("k").value().version == 3);
}

TEST_CASE("a page that repeats earlier keys makes the scan fail")
{
    auto row = [](const std::string& key) { return R"({"key":")" + key + R"(","value":"v","version":1})"; };
    ScriptedServer server({
        httpResponse("200 OK", R"({"rows":[)" + row("a1") + "," + row("a2") + "]}"),
        httpResponse("200 OK", R"({"rows":[)" + row("a1") + "," + row("a2") + "]}"),
    });
    auto platform = server.platform();
    CHECK(platform.table.scan({ .prefix = "a", .after = {}, .limit = 2 }).value().size() == 2);
    CHECK_FALSE(platform.table.scan({ .prefix = "a", .after = "a2", .limit = 2 }));
}

TEST_CASE("a request to a platform that stops responding times out")
{
    for (const auto* start : { "", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{" }) {
        CAPTURE(start);
        ScriptedServer server({ start }, true);
        auto row = server.platform().table.get("k");
        REQUIRE_FALSE(row);
        CHECK(row.error().code == ResultCode::StoreUnavailable);
    }
}
