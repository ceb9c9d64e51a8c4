#include "Net/HttpMessage.h"

#include <doctest/doctest.h>

#include "Net/BodyDecoder.h"

// The rows of docs/HTTP-SYNTAX.md, in its order.

namespace {

struct Form {
    std::string what;
    std::string text;
    bool isValid;
};

const Form statusLines[] = {
    { "as usual", "HTTP/1.1 200 OK", true },
    { "no reason", "HTTP/1.1 200 ", true },
    { "neither reason nor space", "HTTP/1.1 200", true },
    { "bytes above ASCII in the reason", "HTTP/1.1 200 \xc3\xa9", true },
    { "HTTP/1.0", "HTTP/1.0 200 OK", true },
    { "a later minor version", "HTTP/1.9 200 OK", true },
    { "lowest status", "HTTP/1.1 100 Continue", true },
    { "highest status", "HTTP/1.1 599 x", true },
    { "status 000", "HTTP/1.1 000 x", false },
    { "status 099", "HTTP/1.1 099 x", false },
    { "status 600", "HTTP/1.1 600 x", false },
    { "status 999", "HTTP/1.1 999 x", false },
    { "two digits", "HTTP/1.1 20 x", false },
    { "four digits", "HTTP/1.1 2000 x", false },
    { "no number", "HTTP/1.1 2x0 x", false },
    { "sign", "HTTP/1.1 +20 x", false },
    { "two spaces before the status", "HTTP/1.1  200 OK", false },
    { "tab before the status", "HTTP/1.1\t200 OK", false },
    { "control byte in the reason", "HTTP/1.1 200 O\x01K", false },
    { "other major version", "HTTP/2.0 200 OK", false },
    { "two digits of minor version", "HTTP/1.10 200 OK", false },
    { "other protocol", "ICY 200 OK", false },
    { "lower case", "http/1.1 200 OK", false },
};

const Form fieldLines[] = {
    { "as usual", "X-A: b", true },
    { "no value", "X-A:", true },
    { "all characters of a token", "!#$%&'*+-.^_`|~09azAZ: b", true },
    { "tab, quotes and bytes above ASCII in the value", "X-A: \"a\tb\" \xc3\xa9", true },
    { "colon in the value", "X-A: b: c", true },
    { "no token: parentheses", "X(Odd): 1", false },
    { "no token: at sign", "X@Odd: 1", false },
    { "blank in the name", "X Odd: 1", false },
    { "tab in the name", "X\tOdd: 1", false },
    { "control byte in the name", "X\x01Odd: 1", false },
    { "DEL in the name", "X\x7fOdd: 1", false },
    { "byte above ASCII in the name", "X\xe9Odd: 1", false },
    { "empty name", ": 1", false },
    { "blank before the colon", "X-Odd : 1", false },
    { "no colon", "X-Odd", false },
    { "folded line", " folded: 1", false },
    { "NUL in the value", std::string("X-Odd: a\0b", 10), false },
    { "bare CR in the value", "X-Odd: a\rb", false },
    { "bare LF in the value", "X-Odd: a\nb", false },
    { "control byte in the value", "X-Odd: a\x1b"
                                   "b",
        false },
    { "DEL in the value", "X-Odd: a\x7f", false },
};

const Form framings[] = {
    { "Content-Length", "Content-Length: 5\r\n", true },
    { "the same Content-Length twice", "Content-Length: 5\r\nContent-Length: 5\r\n", true },
    { "chunked", "Transfer-Encoding: chunked\r\n", true },
    { "two lengths", "Content-Length: 5\r\nContent-Length: 6\r\n", false },
    { "a list of lengths", "Content-Length: 5, 5\r\n", false },
    { "length with a sign", "Content-Length: +5\r\n", false },
    { "negative length", "Content-Length: -5\r\n", false },
    { "hexadecimal length", "Content-Length: 0x5\r\n", false },
    { "empty length", "Content-Length:\r\n", false },
    { "length of more than 64 bits", "Content-Length: 99999999999999999999\r\n", false },
    { "length beside chunked", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", false },
    { "chunked beside length", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", false },
    { "chunked twice", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", false },
    { "other coding", "Transfer-Encoding: gzip, chunked\r\n", false },
};

const Form requestLines[] = {
    { "as usual", "GET /a?b HTTP/1.1", true },
    { "HTTP/1.0", "GET / HTTP/1.0", true },
    { "any token as method", "M-SEARCH / HTTP/1.1", true },
    { "bytes above ASCII in the target", "GET /\xc3\xa9 HTTP/1.1", true },
    { "no token as method", "G(T / HTTP/1.1", false },
    { "two spaces", "GET  / HTTP/1.1", false },
    { "tab", "GET\t/ HTTP/1.1", false },
    { "space in the target", "GET /a b HTTP/1.1", false },
    { "control byte in the target", "GET /a\x01 HTTP/1.1", false },
    { "absolute form", "GET http://x/ HTTP/1.1", false },
    { "no version", "GET /", false },
    { "other major version", "GET / HTTP/2.0", false },
};

const Form chunkedBodies[] = {
    { "as usual", "5\r\nwhole\r\n0\r\n\r\n", true },
    { "leading zeros, capital digits", "000A\r\n0123456789\r\n0\r\n\r\n", true },
    { "extension, blank before it", "5 ;a=b\r\nwhole\r\n0\r\n\r\n", true },
    { "longest extension", "5;" + std::string(4094, 'a') + "\r\nwhole\r\n0\r\n\r\n", true },
    { "trailer", "5\r\nwhole\r\n0\r\nX-A: b\r\n\r\n", true },
    { "extension longer than a line may be", "5;" + std::string(4095, 'a') + "\r\nwhole\r\n0\r\n\r\n", false },
    { "trailer longer than a line may be", "5\r\nwhole\r\n0\r\nX-A:" + std::string(4093, 'b') + "\r\n\r\n", false },
    { "blank behind the size", "5 \r\nwhole\r\n0\r\n\r\n", false },
    { "blank before the size", " 5\r\nwhole\r\n0\r\n\r\n", false },
    { "sign", "+5\r\nwhole\r\n0\r\n\r\n", false },
    { "prefix of a hexadecimal number", "0x5\r\nwhole\r\n0\r\n\r\n", false },
    { "no size", "\r\nwhole\r\n0\r\n\r\n", false },
    { "size of more than 64 bits", "10000000000000005\r\nwhole\r\n0\r\n\r\n", false },
    { "bare LF in an extension", "5;a\nb\r\nwhole\r\n0\r\n\r\n", false },
    { "data longer than the size", "4\r\nwhole\r\n0\r\n\r\n", false },
    { "trailer without a colon", "5\r\nwhole\r\n0\r\nodd\r\n\r\n", false },
    { "blank in a trailer's name", "5\r\nwhole\r\n0\r\nX Odd: 1\r\n\r\n", false },
};

std::string inResponse(const std::string& fields)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
}

std::string inRequest(const std::string& fields)
{
    return "POST / HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n";
}

}

// Guards against responses whose status is no status, which a caller took for an answer.
TEST_CASE("Status lines: only three digits from 100 to 599 after HTTP/1.x and one space")
{
    for (const auto& form : statusLines) {
        CAPTURE(form.what);
        auto parsed = Net::parseResponseHead(form.text + "\r\nContent-Length: 0\r\n\r\n", true);
        CHECK(parsed.head.has_value() == form.isValid);
        CHECK(parsed.detail.empty() == form.isValid);
    }
}

// Guards against lines that one parser passes on and the next one reads otherwise or leaves out.
TEST_CASE("Field lines: a token, a colon, and a value without control bytes, in requests, responses and trailers")
{
    for (const auto& form : fieldLines) {
        CAPTURE(form.what);
        CHECK(Net::parseResponseHead(inResponse("Content-Length: 0\r\n" + form.text + "\r\n"), true).head.has_value() == form.isValid);
        CHECK(Net::parseRequestHead(inRequest(form.text + "\r\n")).head.has_value() == form.isValid);
        CHECK(Net::isFieldLine(form.text) == form.isValid);
    }
}

// Guards against API keys in logs, where the detail is written.
TEST_CASE("The detail of a malformed request does not repeat its header lines")
{
    for (const std::string line : { "X-Key : secret", "X Key: secret", " secret", "secret" }) {
        CAPTURE(line);
        auto parsed = Net::parseRequestHead(inRequest(line + "\r\n"));
        CHECK(!parsed.head);
        CHECK(!parsed.detail.empty());
        CHECK(parsed.detail.find("secret") == std::string::npos);
    }
}

TEST_CASE("Framing: one length or chunked alone, in requests and responses")
{
    for (const auto& form : framings) {
        CAPTURE(form.what);
        CHECK(Net::parseResponseHead(inResponse(form.text), true).head.has_value() == form.isValid);
        CHECK(Net::parseRequestHead(inRequest(form.text)).head.has_value() == form.isValid);
    }
    CHECK(!Net::parseResponseHead("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true).head);
    CHECK(!Net::parseRequestHead("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n").head);
}

TEST_CASE("Request lines: a token, a path and HTTP/1.x with single spaces between; one Host at most")
{
    for (const auto& form : requestLines) {
        CAPTURE(form.what);
        auto parsed = Net::parseRequestHead(form.text + "\r\nHost: x\r\n\r\n");
        CHECK(parsed.head.has_value() == form.isValid);
        CHECK(parsed.detail.empty() == form.isValid);
    }
    CHECK(!Net::parseRequestHead("GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n").head);
}

TEST_CASE("Chunked bodies: sizes, extensions and trailers")
{
    for (const auto& form : chunkedBodies) {
        CAPTURE(form.what);
        Net::BodyDecoder decoder(Net::Framing::Chunked, 0, 1000);
        auto bytes = form.text;
        CHECK((decoder.feed(bytes) == Net::BodyDecoder::State::Complete) == form.isValid);
    }
}
