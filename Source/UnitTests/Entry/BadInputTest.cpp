#include <doctest/doctest.h>

#include "Entry/Daemon.h"

#include "Entry/EntryFixture.h"

namespace {

using EntryTests::connectTo;
using EntryTests::sendRaw;
using EntryTests::statusOf;

// No server listens there: a request that passes every check ends as connect-failed.
constexpr auto record = "schema = 1\nservice = \"s\"\nservers = [\"127.0.0.1:1\"]\n";
constexpr int quietMs = 2000;

std::string post(const std::string& headers, const std::string& body)
{
    return "POST /services/s/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + headers + "\r\n" + body;
}

struct Case {
    const char* what;
    std::string bytes;
    int status;
    Common::ResultCode code;
};

const Case cases[] = {
    { "garbage", "\x01\x02\x03 garbage\r\n\r\n", 400, Common::ResultCode::BadRequest },
    { "head without end", "GET /services/s/x HTTP/1.1\r\nHost: h", 408, Common::ResultCode::RequestTimeout },
    { "oversized head", "GET /services/s/x HTTP/1.1\r\nX: " + std::string(40'000, 'x') + "\r\n\r\n", 431, Common::ResultCode::HeadTooLarge },
    { "head a little over the limit", "GET /services/s/x HTTP/1.1\r\nA: " + std::string(8000, 'x') + "\r\nB: " + std::string(8000, 'x') + "\r\nC: " + std::string(500, 'x') + "\r\n\r\n", 431, Common::ResultCode::HeadTooLarge },
    { "unknown method", "BREW /services/s/x HTTP/1.1\r\nHost: h\r\n\r\n", 405, Common::ResultCode::MethodNotAllowed },
    { "another version", "GET /services/s/x HTTP/3.7\r\nHost: h\r\n\r\n", 400, Common::ResultCode::BadRequest },
    { "body over the limit", post("Content-Length: 1001\r\n", std::string(1001, 'x')), 413, Common::ResultCode::BodyTooLarge },
    { "stated length over the limit", post("Content-Length: 999999999999\r\n", ""), 413, Common::ResultCode::BodyTooLarge },
    { "length beyond 64 bits", post("Content-Length: 99999999999999999999\r\n", ""), 400, Common::ResultCode::BadRequest },
    { "negative length", post("Content-Length: -5\r\n", "12345"), 400, Common::ResultCode::BadRequest },
    { "length that is no number", post("Content-Length: 5x\r\n", "12345"), 400, Common::ResultCode::BadRequest },
    { "two lengths", post("Content-Length: 5\r\nContent-Length: 6\r\n", "123456"), 400, Common::ResultCode::BadRequest },
    { "length and chunks", post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400, Common::ResultCode::BadRequest },
    { "unknown transfer encoding", post("Transfer-Encoding: zip\r\n", ""), 400, Common::ResultCode::BadRequest },
    { "malformed chunk size", post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\nzz\r\nrest\r\n0\r\n\r\n"), 400, Common::ResultCode::BadRequest },
    { "chunked body over the limit", post("Transfer-Encoding: chunked\r\n", "7d0\r\n" + std::string(2000, 'x') + "\r\n0\r\n\r\n"), 413, Common::ResultCode::BodyTooLarge },
    { "body that never comes", post("Content-Length: 10\r\n", "12345"), 408, Common::ResultCode::RequestTimeout },
    { "chunks that never end", post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n"), 408, Common::ResultCode::RequestTimeout },
    { "unknown path", "GET /nowhere HTTP/1.1\r\nConnection: close\r\n\r\n", 404, Common::ResultCode::UnknownPath },
    { "unknown service", "GET /services/none/x HTTP/1.1\r\nConnection: close\r\n\r\n", 404, Common::ResultCode::UnknownService },
    { "expired deadline", "GET /services/s/x HTTP/1.1\r\nConnection: close\r\nCowslipledge-Deadline-Ms: 0\r\n\r\n", 504, Common::ResultCode::DeadlineExpired },
    { "bad deadline", "GET /services/s/x HTTP/1.1\r\nConnection: close\r\nCowslipledge-Deadline-Ms: soon\r\n\r\n", 400, Common::ResultCode::BadHeader },
    { "bad repeat rule", "GET /services/s/x HTTP/1.1\r\nConnection: close\r\nCowslipledge-Repeat: often\r\n\r\n", 400, Common::ResultCode::BadHeader },
    { "bad id", "GET /services/s/x HTTP/1.1\r\nConnection: close\r\nIdempotency-Key: a b\r\n\r\n", 400, Common::ResultCode::BadHeader },
    { "good length", post("Content-Length: 5\r\n", "12345"), 503, Common::ResultCode::ConnectFailed },
    { "good chunks", post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"), 503, Common::ResultCode::ConnectFailed },
};

}

TEST_CASE("bad input gets a numbered answer, runs nothing, and the entry lives on")
{
    Entry::Daemon daemon(EntryTests::testSettings(), EntryTests::fixedPlatform(record, {}), Common::systemHooks());
    REQUIRE(daemon.start());
    for (const auto& row : cases) {
        CAPTURE(row.what);
        auto socket = connectTo(daemon);
        auto answer = sendRaw(socket, row.bytes, quietMs);
        CAPTURE(answer.text);
        CHECK(statusOf(answer) == row.status);
        CHECK(answer.text.find("Cowslipledge-Result: " + std::to_string(static_cast<int>(row.code)) + "\r\n") != std::string::npos);
        CHECK(answer.text.find("Cowslipledge-Outcome: not-run\r\n") != std::string::npos);
    }
    auto socket = connectTo(daemon);
    CHECK(statusOf(sendRaw(socket, "GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n", quietMs)) == 200);
    // The caller has its answer a moment before the entry has forgotten the request.
    EntryTests::waitUntil([&] { return daemon.callers().inFlight == 0; });
}

TEST_CASE("a head cut off by a half-closed connection is not taken for a whole one")
{
    Entry::Daemon daemon(EntryTests::testSettings(), EntryTests::fixedPlatform(record, {}), Common::systemHooks());
    REQUIRE(daemon.start());
    auto socket = connectTo(daemon);
    std::string head = "GET /services/s/x HTTP/1.1\r\nIdempotency-Key: ab";
    socket.sendBytes(head.data(), static_cast<int>(head.size()));
    socket.shutdownSend();
    auto answer = sendRaw(socket, "", quietMs);
    CHECK(statusOf(answer) == 400);
    CHECK(daemon.callers().counters.malformed == 1);
}

TEST_CASE("a sender of one byte at a time is cut off by the total time")
{
    Entry::Daemon daemon(EntryTests::testSettings(), EntryTests::fixedPlatform(record, {}), Common::systemHooks());
    REQUIRE(daemon.start());
    auto socket = connectTo(daemon);
    EntryTests::RawAnswer answer;
    // Each byte comes well within the time a single read may take; a thousand of them would last far beyond the whole.
    constexpr int byteGapMs = 10;
    constexpr int mostBytes = 1000;
    for (int i = 0; i < mostBytes && answer.text.empty(); ++i)
        answer = sendRaw(socket, "x", byteGapMs);
    CHECK(statusOf(answer) == 408);
}

TEST_CASE("connections above the limit are refused with an answer")
{
    auto settings = EntryTests::testSettings();
    settings.limits.connections = 2;
    Entry::Daemon daemon(settings, EntryTests::fixedPlatform(record, {}), Common::systemHooks());
    REQUIRE(daemon.start());
    constexpr auto request = "GET /healthz HTTP/1.1\r\n\r\n";
    constexpr int shortQuietMs = 200;
    auto first = connectTo(daemon);
    auto second = connectTo(daemon);
    CHECK(statusOf(sendRaw(first, request, shortQuietMs)) == 200);
    CHECK(statusOf(sendRaw(second, request, shortQuietMs)) == 200);
    auto third = connectTo(daemon);
    CHECK(statusOf(sendRaw(third, "", quietMs)) == 503);
    CHECK(statusOf(sendRaw(first, request, shortQuietMs)) == 200);
    CHECK(daemon.callers().counters.refusedConnections == 1);
}
