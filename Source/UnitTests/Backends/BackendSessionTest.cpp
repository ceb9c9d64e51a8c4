#include "Backends/BackendSession.h"

#include <poll.h>

#include <doctest/doctest.h>

#include "ScriptedServer.h"

namespace {

using namespace UnitTests;
using Backends::BackendAnswer;
using Backends::BackendRequest;
using Backends::BackendSession;
using Decisions::AttemptEnd;
using Decisions::AttemptFault;
using Decisions::AttemptStage;

constexpr auto longWait = std::chrono::seconds(20); // never reached by a passing test
constexpr auto shortWait = std::chrono::milliseconds(60); // always reached, whatever the machine does

const std::string wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

BackendRequest get()
{
    return { .method = "GET", .target = "/clue", .headers = { { "Idempotency-Key", "a" } }, .body = {} };
}

Common::TimePoint in(Common::Duration wait)
{
    return Common::TimePoint(std::chrono::steady_clock::now()) + wait;
}

AttemptEnd roundTrip(BackendSession& session, const BackendRequest& request, BackendAnswer& answer, Common::Duration wait)
{
    auto end = session.send(request, wait);
    return end.stage == AttemptStage::Sent ? session.receive(answer, in(wait)) : end;
}

struct Case {
    std::string what;
    Script script;
    AttemptStage stage;
    AttemptFault fault;
    bool reusable = false;
    std::string method = "GET";
    Common::Duration wait = longWait;
    bool provenNotRun = false;
};

Script answering(const std::string& bytes)
{
    return { ReadRequest {}, SendBytes { bytes }, WaitForClient {} };
}

Script cutAfter(const std::string& bytes)
{
    return { ReadRequest {}, SendBytes { bytes }, CloseConnection {} };
}

std::vector<Case> cases()
{
    using enum AttemptStage;
    using Fault = AttemptFault;
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string shed = "HTTP/1.1 503 Busy\r\nCowslipledge-Not-Run: 1\r\nContent-Length: 4\r\n\r\n";
    return {
        { "whole answer", answering(wholeAnswer), Answered, Fault::None, true },
        { "whole chunked answer", answering(chunkedHead + "4\r\nbody\r\n0\r\n\r\n"), Answered, Fault::None, true },
        { "chunked answer with trailer", answering(chunkedHead + "4;x=y\r\nbody\r\n0\r\nDigest: 1\r\n\r\n"), Answered, Fault::None, true },
        { "whole answer, then closed", cutAfter(wholeAnswer), Answered, Fault::None, true },
        { "whole answer, Connection: close", answering("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), Answered, Fault::None },
        { "interim answers, then a whole one", answering("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + wholeAnswer), Answered, Fault::None, true },
        { "interim answer only", cutAfter("HTTP/1.1 103 Early Hints\r\n\r\n"), PartlyAnswered, Fault::Closed },
        { "switched protocols", answering("HTTP/1.1 101 Switching\r\n\r\n"), PartlyAnswered, Fault::Malformed },
        { "HEAD with a length and no body", answering("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n"), Answered, Fault::None, true, "HEAD" },
        { "204 without a length", answering("HTTP/1.1 204 No Content\r\n\r\n"), Answered, Fault::None, true },
        { "304 with a length", answering("HTTP/1.1 304 Not Modified\r\nContent-Length: 400\r\n\r\n"), Answered, Fault::None, true },
        { "shed with proof", answering(shed + "busy"), Answered, Fault::None, true, "GET", longWait, true },
        { "shed with proof, cut short", cutAfter(shed + "bu"), PartlyAnswered, Fault::CutShort },
        { "proof on another status", answering("HTTP/1.1 500 No\r\nCowslipledge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), Answered, Fault::None, true },
        { "closed after the request", { ReadRequest {}, CloseConnection {} }, Sent, Fault::Closed },
        { "reset after the request", { ReadRequest {}, ResetConnection {} }, Sent, Fault::Closed },
        { "half a head", cutAfter("HTTP/1.1 200 OK\r\nContent-Le"), PartlyAnswered, Fault::Malformed },
        { "not HTTP", cutAfter("hello\r\n\r\n"), PartlyAnswered, Fault::Malformed },
        { "body cut short", cutAfter("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nbo"), PartlyAnswered, Fault::CutShort },
        { "chunked body cut in a chunk", cutAfter(chunkedHead + "4\r\nbo"), PartlyAnswered, Fault::CutShort },
        { "chunked body cut between chunks", cutAfter(chunkedHead + "4\r\nbody\r\n"), PartlyAnswered, Fault::CutShort },
        { "chunked body cut in the last chunk", cutAfter(chunkedHead + "4\r\nbody\r\n0\r\n"), PartlyAnswered, Fault::CutShort },
        { "chunk size is not a number", answering(chunkedHead + "4\r\nbody\r\nzz\r\n\r\n"), PartlyAnswered, Fault::Malformed },
        { "chunk longer than stated", answering(chunkedHead + "2\r\nbody\r\n0\r\n\r\n"), PartlyAnswered, Fault::Malformed },
        { "neither length nor chunks", cutAfter("HTTP/1.1 200 OK\r\n\r\nbody"), PartlyAnswered, Fault::CutShort },
        { "two lengths", answering("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nbody"), PartlyAnswered, Fault::Malformed },
        { "length beside chunks", answering("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), PartlyAnswered, Fault::Malformed },
        { "status 000", answering("HTTP/1.1 000 Zero\r\nContent-Length: 4\r\n\r\nbody"), PartlyAnswered, Fault::Malformed },
        { "status 600", answering("HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n\r\nbody"), PartlyAnswered, Fault::Malformed },
        { "blank in a name", answering("HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\nbody"), PartlyAnswered, Fault::Malformed },
        { "control byte in a name", answering("HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 4\r\n\r\nbody"), PartlyAnswered, Fault::Malformed },
        { "line without a colon", answering("HTTP/1.1 200 OK\r\nOdd\r\nContent-Length: 4\r\n\r\nbody"), PartlyAnswered, Fault::Malformed },
        { "line without a colon in the trailer", answering(chunkedHead + "4\r\nbody\r\n0\r\nOdd\r\n\r\n"), PartlyAnswered, Fault::Malformed },
        { "negative length", answering("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"), PartlyAnswered, Fault::Malformed },
        { "length beyond the limit", answering("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"), PartlyAnswered, Fault::TooLarge },
        { "extra bytes after the answer", answering(wholeAnswer + "more"), Answered, Fault::None, false },
        { "silent", answering(""), Sent, Fault::TimedOut, false, "GET", shortWait },
        { "head trickled past the deadline", { ReadRequest {}, Trickle { "HTTP/1.1 200 OK" } }, PartlyAnswered, Fault::TimedOut, false, "GET", shortWait },
        { "body trickled past the deadline", { ReadRequest {}, SendBytes { "HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n" }, Trickle { "x" } }, PartlyAnswered, Fault::TimedOut, false, "GET", shortWait },
        { "interim answers without a pause", { ReadRequest {}, Flood { "HTTP/1.1 103 Early Hints\r\n\r\n" } }, PartlyAnswered, Fault::TimedOut, false, "GET", shortWait },
        { "interim answers without end", { ReadRequest {}, Trickle { "HTTP/1.1 103 Early Hints\r\n\r\n" } }, PartlyAnswered, Fault::TimedOut, false, "GET", shortWait },
    };
}

// Waits until the peer's close or bytes have arrived: a state of the socket, not a time.
void waitReadable(BackendSession& session)
{
    pollfd item { .fd = session.pollSocket().impl()->sockfd(), .events = POLLIN, .revents = 0 };
    REQUIRE(::poll(&item, 1, static_cast<int>(std::chrono::milliseconds(longWait).count())) == 1);
}

}

TEST_CASE("every point of failure of an exchange ends as what it is, over one connection and one request")
{
    for (const auto& row : cases()) {
        CAPTURE(row.what);
        ScriptedServer server({ row.script });
        BackendSession session({ .address = server.address() });
        REQUIRE(session.open(longWait).stage == AttemptStage::BeforeSend);
        BackendAnswer answer;
        auto request = get();
        request.method = row.method;
        auto end = roundTrip(session, request, answer, row.wait);
        CHECK(end.stage == row.stage);
        CHECK(end.fault == row.fault);
        CHECK(end.provenNotRun == row.provenNotRun);
        CHECK(session.reusable() == row.reusable);
        CHECK(session.silentSince().has_value() == (row.stage == AttemptStage::Sent && row.fault == AttemptFault::TimedOut));
        if (end.stage == AttemptStage::Answered && answer.status == 200 && row.method == "GET" && !answer.body.empty())
            CHECK(answer.body == "body");
        CHECK(server.connections() == 1);
        CHECK(server.requests() == 1);
    }
}

// Decoded, the value would add a header line.
TEST_CASE("an encoded word in a header value is passed on as received")
{
    const std::string value = "=?utf-8?Q?a=0D=0AX-Added:_1?=";
    ScriptedServer server({ answering("HTTP/1.1 200 OK\r\nX-Title: " + value + "\r\nContent-Length: 4\r\n\r\nbody") });
    BackendSession session({ .address = server.address() });
    REQUIRE(session.open(longWait).stage == AttemptStage::BeforeSend);
    BackendAnswer answer;
    CHECK(roundTrip(session, get(), answer, longWait).stage == AttemptStage::Answered);
    REQUIRE(answer.headers.size() == 1);
    CHECK(answer.headers[0].second == value);
}

TEST_CASE("a refused connection is known to have carried nothing")
{
    // Bound without listening: the port is ours and refuses.
    Poco::Net::StreamSocket holder;
    holder.impl()->bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    BackendSession session({ .address = holder.address().toString() });
    auto end = session.open(longWait);
    CHECK(end.stage == AttemptStage::Connecting);
    CHECK(end.fault == AttemptFault::Refused);
    // Sending on it does not make the library connect.
    CHECK(session.send(get(), longWait).stage == AttemptStage::BeforeSend);
}

TEST_CASE("a kept connection that went bad while idle is noticed before any byte, and nothing reconnects")
{
    struct Row {
        std::string what;
        Step last;
    };
    const Row rows[] = {
        { "closed while idle", CloseConnection {} },
        { "reset while idle", ResetConnection {} },
        { "unasked bytes while idle", SendBytes { wholeAnswer } },
    };
    for (const auto& row : rows) {
        CAPTURE(row.what);
        ScriptedServer server({ { ReadRequest {}, SendBytes { wholeAnswer }, row.last, WaitForClient {} }, answering(wholeAnswer) });
        BackendSession session({ .address = server.address() });
        REQUIRE(session.open(longWait).stage == AttemptStage::BeforeSend);
        BackendAnswer answer;
        REQUIRE(roundTrip(session, get(), answer, longWait).stage == AttemptStage::Answered);
        if (session.reusable())
            waitReadable(session);
        auto end = session.send(get(), longWait);
        CHECK(end.stage == AttemptStage::BeforeSend);
        CHECK(end.fault == AttemptFault::Closed);
        CHECK(server.connections() == 1);
        CHECK(server.requests() == 1);
    }
}

TEST_CASE("a kept connection reset by its second request is not opened again")
{
    ScriptedServer server({ { ReadRequest {}, SendBytes { wholeAnswer }, ReadRequest {}, ResetConnection {} }, answering(wholeAnswer) });
    BackendSession session({ .address = server.address() });
    REQUIRE(session.open(longWait).stage == AttemptStage::BeforeSend);
    BackendAnswer answer;
    REQUIRE(roundTrip(session, get(), answer, longWait).stage == AttemptStage::Answered);
    auto end = roundTrip(session, get(), answer, longWait);
    CHECK(end.stage == AttemptStage::Sent);
    CHECK(end.fault == AttemptFault::Closed);
    CHECK(server.connections() == 1);
    CHECK(server.requests() == 2);
}

TEST_CASE("a large request to a server that does not read ends as partly sent")
{
    ScriptedServer server({ { ReadRequest {}, Trickle { "H" } } });
    BackendSession session({ .address = server.address() });
    REQUIRE(session.open(longWait).stage == AttemptStage::BeforeSend);
    std::string body(64 * 1024 * 1024, 'x'); // more than both kernels' buffers
    auto end = session.send({ .method = "POST", .target = "/", .headers = {}, .body = body }, shortWait);
    CHECK(end.stage == AttemptStage::PartlySent);
    CHECK(end.fault == AttemptFault::TimedOut);
}

TEST_CASE("nothing that a caller sends can add a header or a request")
{
    const BackendRequest dirty[] = {
        { .method = "GET", .target = "/a HTTP/1.1\r\nX: y", .headers = {}, .body = {} },
        { .method = "GET", .target = "/a b", .headers = {}, .body = {} },
        { .method = "GET /x", .target = "/a", .headers = {}, .body = {} },
        { .method = "GET", .target = "/a", .headers = { { "A", "b\r\nCowslipledge-Retry: 0" } }, .body = {} },
        { .method = "GET", .target = "/a", .headers = { { "A", "b\nC: d" } }, .body = {} },
        { .method = "GET", .target = "/a", .headers = { { "A: b\r\nC", "d" } }, .body = {} },
        { .method = "GET", .target = "/a", .headers = { { "A", std::string("b\0c", 3) } }, .body = {} },
    };
    ScriptedServer server({ answering(wholeAnswer) });
    BackendSession session({ .address = server.address() });
    REQUIRE(session.open(longWait).stage == AttemptStage::BeforeSend);
    for (const auto& request : dirty) {
        CAPTURE(request.target);
        auto end = session.send(request, longWait);
        CHECK(end.stage == AttemptStage::BeforeSend);
        CHECK(end.fault == AttemptFault::Malformed);
    }
    BackendAnswer answer;
    auto clean = get();
    clean.headers = { { "Accept", "a" }, { "Accept", "b" } };
    CHECK(roundTrip(session, clean, answer, longWait).stage == AttemptStage::Answered);
    CHECK(server.requests() == 1);
    // Repeated fields arrive as they came.
    CHECK(server.head().find("Accept: a\r\nAccept: b\r\n") != std::string::npos);
}
