#include "Platform/HttpPlatform.h"

#include <atomic>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

namespace {

using Common::ResultCode;

// Answers every connection with the next of its scripted texts, byte by byte as they stand, and closes it.
class ScriptedServer {
public:
    explicit ScriptedServer(std::vector<std::string> answers, bool thenSilent = false)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this, answers = std::move(answers), thenSilent] { serve(answers, thenSilent); })
    {
    }

    ~ScriptedServer()
    {
        m_ending = true;
        m_thread.join();
    }

    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    Platform::Services platform(std::size_t answerBytes = 4096)
    {
        return Platform::httpPlatform({ .address = m_socket.address().toString(), .timeout = std::chrono::milliseconds(300), .answerBytes = answerBytes });
    }

private:
    void serve(const std::vector<std::string>& answers, bool thenSilent)
    {
        constexpr long pollUs = 20'000;
        for (const auto& answer : answers) {
            while (!m_ending && !m_socket.poll(Poco::Timespan(pollUs), Poco::Net::Socket::SELECT_READ)) { }
            if (m_ending)
                return;
            auto connection = m_socket.acceptConnection();
            std::array<char, 4096> buf {};
            connection.receiveBytes(buf.data(), buf.size());
            connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
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

std::string http(const std::string& status, const std::string& body, std::size_t lacking = 0)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size() + lacking) + "\r\n\r\n" + body;
}

struct BadAnswer {
    const char* what;
    std::string answer;
    ResultCode code;
};

// What no question to the platform may take for an answer.
std::vector<BadAnswer> badAnswers()
{
    return {
        { "closed at once", "", ResultCode::StoreUnavailable },
        { "head cut", "HTTP/1.1 200 OK\r\nContent-", ResultCode::StoreUnavailable },
        { "body cut", http("200 OK", "{}", 5), ResultCode::StoreUnavailable },
        { "chunk cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{\"key\":", ResultCode::StoreProtocol },
        { "not JSON", http("200 OK", "<html>"), ResultCode::StoreProtocol },
        { "no body", http("200 OK", ""), ResultCode::StoreProtocol },
        { "a number", http("200 OK", "7"), ResultCode::StoreProtocol },
        { "empty object", http("200 OK", "{}"), ResultCode::StoreProtocol },
        { "over the rate", http("429 Too Many Requests", "{}"), ResultCode::StoreUnavailable },
        { "failing", http("500 Internal Server Error", "{}"), ResultCode::StoreUnavailable },
        { "busy", http("503 Service Unavailable", "{}"), ResultCode::StoreUnavailable },
        { "refused", http("403 Forbidden", "{}"), ResultCode::StoreProtocol },
        { "too large", http("200 OK", std::string(5000, ' ') + "{}"), ResultCode::StoreProtocol },
    };
}

}

TEST_CASE("a bad answer of the platform is an error, never a row, a list or an empty one")
{
    for (const auto& bad : badAnswers()) {
        CAPTURE(bad.what);
        ScriptedServer server({ bad.answer, bad.answer, bad.answer });
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

TEST_CASE("only a whole answer says that a transaction was committed or refused")
{
    const Platform::Transaction transaction { .conditions = { { "k", 1 } }, .writes = { { "k", "v" } } };
    for (const auto& answer : { http("200 OK", "{}", 1), http("409 Conflict", "{\"found\":", 1), http("409 Conflict", "{}"), http("409 Conflict", R"({"found":[{"key":"k","version":"1"}]})"), http("404 Not Found", "{}"), std::string() }) {
        CAPTURE(answer);
        ScriptedServer server({ answer });
        CHECK_FALSE(server.platform().table.commit(transaction));
    }
    ScriptedServer server({ http("200 OK", "{}"), http("409 Conflict", R"({"found":[{"key":"k","version":2}]})") });
    auto platform = server.platform();
    CHECK(platform.table.commit(transaction).value().committed);
    auto refused = platform.table.commit(transaction).value();
    CHECK_FALSE(refused.committed);
    CHECK(refused.found.at(0).version == 2);
}

TEST_CASE("rows and instances of the wrong shape are refused")
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
        ScriptedServer server({ http("200 OK", row), http("200 OK", R"({"rows":[{"key":"j","value":"v","version":1},)" + row + "]}") });
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
        ScriptedServer server({ http("200 OK", list) });
        CHECK_FALSE(server.platform().instances());
    }
    ScriptedServer server({ http("404 Not Found", "{}"), http("200 OK", R"({"key":"k","value":"v","version":3})") });
    auto platform = server.platform();
    CHECK(platform.table.get("k").value().version == 0);
    CHECK(platform.table.get("k").value().version == 3);
}

TEST_CASE("a page that does not go forward ends the scan with an error")
{
    auto row = [](const std::string& key) { return R"({"key":")" + key + R"(","value":"v","version":1})"; };
    ScriptedServer server({ http("200 OK", R"({"rows":[)" + row("a1") + "," + row("a2") + "]}"), http("200 OK", R"({"rows":[)" + row("a1") + "," + row("a2") + "]}") });
    auto platform = server.platform();
    CHECK(platform.table.scan({ .prefix = "a", .after = {}, .limit = 2 }).value().size() == 2);
    CHECK_FALSE(platform.table.scan({ .prefix = "a", .after = "a2", .limit = 2 }));
}

TEST_CASE("a silent platform is given up")
{
    for (const auto* start : { "", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{" }) {
        CAPTURE(start);
        ScriptedServer server({ start }, true);
        auto row = server.platform().table.get("k");
        REQUIRE_FALSE(row);
        CHECK(row.error().code == ResultCode::StoreUnavailable);
    }
}
