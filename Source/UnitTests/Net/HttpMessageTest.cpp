#include "Net/HttpMessage.h"

#include <vector>

#include <doctest/doctest.h>

namespace {

using Net::Framing;
using Net::ParseFault;

struct RequestCase {
    std::string what;
    std::string bytes;
    std::size_t length = 0;
    Framing framing = Framing::None;
    bool valid = false;
    bool keepAlive = true;
};

const RequestCase requestCases[] = {
    { "plain", "GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n", 0, Framing::None, true },
    { "Content-Length", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n", 5, Framing::Length, true },
    { "repeated equal Content-Length", "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n", 5, Framing::Length, true },
    { "chunked", "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n", 0, Framing::Chunked, true },
    { "Connection: close", "GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n", 0, Framing::None, true, false },
    { "version 1.0", "GET / HTTP/1.0\r\n\r\n", 0, Framing::None, true, false },
    { "version 1.0 with keep-alive", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", 0, Framing::None, true },
    { "differing Content-Length values", "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", 0, Framing::None, false },
    { "Content-Length, then chunked", "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 0, Framing::None, false },
    { "chunked, then Content-Length", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", 0, Framing::None, false },
    { "unknown transfer coding", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 0, Framing::None, false },
    { "Content-Length with a sign", "POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n", 0, Framing::None, false },
    { "Content-Length as a list", "POST / HTTP/1.1\r\nContent-Length: 5, 5\r\n\r\n", 0, Framing::None, false },
    { "empty Content-Length", "POST / HTTP/1.1\r\nContent-Length:\r\n\r\n", 0, Framing::None, false },
    { "space before the colon", "POST / HTTP/1.1\r\nContent-Length : 5\r\n\r\n", 0, Framing::None, false },
    { "folded line", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 0, Framing::None, false },
    { "no colon", "GET / HTTP/1.1\r\nabc\r\n\r\n", 0, Framing::None, false },
    { "bare line feed", "GET / HTTP/1.1\r\nA: b\nContent-Length: 5\r\n\r\n", 0, Framing::None, false },
    { "absolute-form target", "GET http://x/ HTTP/1.1\r\n\r\n", 0, Framing::None, false },
    { "other protocol", "GET / SPDY/3\r\n\r\n", 0, Framing::None, false },
    { "not HTTP", "\x16\x03\x01 hello\r\n\r\n", 0, Framing::None, false },
    { "bare line feed in the request line", "GET / HTTP/1.1\nContent-Length: 5\r\n\r\n", 0, Framing::None, false },
    { "bare carriage return in the request line", "GET /a\rb HTTP/1.1\r\n\r\n", 0, Framing::None, false },
    { "space in the target", "GET /a HTTP/1.1/b HTTP/1.1\r\n\r\n", 0, Framing::None, false },
    { "tab in the request line", "GET\t/a HTTP/1.1\r\n\r\n", 0, Framing::None, false },
};

struct ResponseCase {
    std::string what;
    std::string bytes;
    Framing framing = Framing::None;
    bool hasBody = true;
    bool valid = true;
    bool keepAlive = true;
};

const ResponseCase responseCases[] = {
    { "Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", Framing::Length, true, true },
    { "until close", "HTTP/1.1 200 OK\r\n\r\n", Framing::UntilClose, true, true },
    { "response to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", Framing::None, false, true },
    { "no content", "HTTP/1.1 204 No Content\r\n\r\n", Framing::None, true, true },
    { "Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", Framing::Length, true, true, false },
    { "not HTTP", "hello there\r\n\r\n", Framing::None, true, false },
    { "differing Content-Length values", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", Framing::None, true, false },
};

}

TEST_CASE("parseRequestHead")
{
    for (const auto& row : requestCases) {
        CAPTURE(row.what);
        auto parsed = Net::parseRequestHead(row.bytes);
        REQUIRE(parsed.head.has_value() == row.valid);
        if (!row.valid)
            continue;
        CHECK(parsed.head->framing == row.framing);
        CHECK(parsed.head->length == row.length);
        CHECK(parsed.head->request.keepAlive == row.keepAlive);
    }
}

TEST_CASE("A target above Poco's size limit is reported as too large, not as malformed")
{
    auto parsed = Net::parseRequestHead("GET /" + std::string(20000, 'a') + " HTTP/1.1\r\nA: a\r\n\r\n");
    CHECK(!parsed.head);
    CHECK(parsed.fault == ParseFault::HeadTooLarge);
}

TEST_CASE("The parser limits neither the number nor the size of header fields: the configuration does")
{
    std::string fields = "Large: " + std::string(20000, 'a') + "\r\nConnection: F7, close, f8\r\n";
    constexpr int n = 3000;
    for (int i = 0; i < n; ++i)
        fields += "f" + std::to_string(i) + ": " + std::to_string(i) + "\r\n";
    auto request = Net::parseRequestHead("GET / HTTP/1.1\r\n" + fields + "\r\n");
    REQUIRE(request.head);
    CHECK(request.head->request.headers.size() == n - 1); // without the hop-by-hop ones: Connection, F7, f8
    CHECK(Net::findHeader(request.head->request.headers, "Large") == std::string(20000, 'a'));
    CHECK(Net::findHeader(request.head->request.headers, "f2999") == "2999");
    CHECK(!Net::findHeader(request.head->request.headers, "f7"));
    CHECK(!request.head->request.keepAlive);
    auto response = Net::parseResponseHead("HTTP/1.1 200 OK\r\n" + fields + "\r\n", true);
    REQUIRE(response.head);
    CHECK(response.head->response.headers.size() == n - 1);
}

TEST_CASE("parseResponseHead")
{
    for (const auto& row : responseCases) {
        CAPTURE(row.what);
        auto parsed = Net::parseResponseHead(row.bytes, row.hasBody);
        REQUIRE(parsed.head.has_value() == row.valid);
        if (!row.valid)
            continue;
        CHECK(parsed.head->framing == row.framing);
        CHECK(parsed.head->keepAlive == row.keepAlive);
    }
}

TEST_CASE("Hop-by-hop headers are not forwarded")
{
    auto parsed = Net::parseRequestHead("GET / HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=3\r\nTE: trailers\r\nX-Stays: 2\r\n\r\n");
    REQUIRE(parsed.head.has_value());
    std::vector<std::string> names;
    for (const auto& header : parsed.head->request.headers)
        names.push_back(header.name);
    CHECK(names == std::vector<std::string> { "Host", "X-Stays" });
}

TEST_CASE("The timeout parameter of the Keep-Alive header is parsed")
{
    auto parsed = Net::parseResponseHead("HTTP/1.1 200 OK\r\nKeep-Alive: max=3, timeout=7\r\nContent-Length: 0\r\n\r\n", true);
    REQUIRE(parsed.head.has_value());
    CHECK(parsed.head->idleTimeoutS == 7);
}

TEST_CASE("Header values are passed on as received, so that no encoded word adds a header or a request")
{
    const std::string values[] = {
        "=?utf-8?B?YQ0KDQpQT1NUIC9wYXkgSFRUUC8xLjENCkhvc3Q6IHg=?=", // decoded: "a", an empty line, and a request
        "=?utf-8?Q?a=0D=0AX-Added:_1?=",
        "=?utf-8?Q?caf=C3=A9?=",
        "=?utf-8?",
        "a=?b",
        "x=?y?z",
        "\"quoted, =?x?=\"",
        "a  b\tc",
        "\x80\xff",
        "",
    };
    for (const auto& value : values) {
        CAPTURE(value);
        auto request = Net::parseRequestHead("GET / HTTP/1.1\r\nX-Title: \t" + value + " \r\n\r\n");
        REQUIRE(request.head.has_value());
        CHECK(Net::toBytes(request.head->request) == "GET / HTTP/1.1\r\nX-Title: " + value + "\r\n\r\n");
        auto response = Net::parseResponseHead("HTTP/1.1 200 OK\r\nX-Title: " + value + "\r\nContent-Length: 0\r\n\r\n", true);
        REQUIRE(response.head.has_value());
        CHECK(Net::headBytes(response.head->response, true, Framing::None, 0) == "HTTP/1.1 200 OK\r\nX-Title: " + value + "\r\n\r\n");
    }
}

TEST_CASE("No part of a message adds a line to the head that is written")
{
    const std::string odd("a\r\nb\nc\rd\0e", 10);
    const std::string replaced = "a  b c d e";
    Net::Request request { .method = "GET", .target = "/" + odd, .headers = { { "X", odd }, { odd, "y" } }, .body = {} };
    CHECK(Net::toBytes(request) == "GET /" + replaced + " HTTP/1.1\r\nX: " + replaced + "\r\n" + replaced + ": y\r\n\r\n");
    Net::Response response { .status = 200, .reason = odd, .headers = { { "X", odd } }, .body = {} };
    CHECK(Net::headBytes(response, true, Framing::None, 0) == "HTTP/1.1 200 " + replaced + "\r\nX: " + replaced + "\r\n\r\n");
}

TEST_CASE("queryValue decodes a parameter and is empty if it is absent or invalid")
{
    CHECK(Net::queryValue("/p?a=1&zone=x%20y", "zone") == "x y");
    CHECK(Net::queryValue("/p?azone=1", "zone").empty());
    CHECK(Net::queryValue("/p", "zone").empty());
    CHECK(Net::queryValue("/p?zone=%", "zone").empty());
}
