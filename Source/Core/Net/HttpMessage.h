#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Net/HttpStatus.h"
#include "Net/MessageSyntax.h"

namespace Net {

struct Header {
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

// Value of the first header with that name, compared case-insensitively; nullopt if absent.
std::optional<std::string_view> findHeader(const Headers&, std::string_view name);
bool equalsIgnoringCase(std::string_view, std::string_view);
// Whether a comma-separated header contains the token, compared case-insensitively.
bool headerHasToken(const Headers&, std::string_view name, std::string_view token);

// How the length of a message body is determined (RFC 9112, 6.3).
enum class Framing {
    None,
    Length,
    Chunked,
    UntilClose,
};

struct Request {
    std::string method;
    std::string target; // path and query, as received
    Headers headers;
    std::string body;
    bool keepAlive = true;
    bool acceptsChunks = true; // false: HTTP/1.0
};

struct Response {
    int status = 0;
    std::string reason;
    Headers headers; // without hop-by-hop headers
    std::string body;
};

// Parsed status line and headers of a response.
struct ResponseHead {
    Response response;
    Framing framing = Framing::None;
    std::size_t length = 0; // with Framing::Length
    bool keepAlive = true;
    bool announcesClose = false; // the peer said that it reads and sends nothing after this response
    std::optional<int> idleTimeoutS; // timeout parameter of the Keep-Alive header
};

struct RequestHead {
    Request request;
    Framing framing = Framing::None;
    std::size_t length = 0;
    bool expectsContinue = false;
};

enum class ParseFault {
    Malformed,
    HeadTooLarge,
};

template <typename Head>
struct Parsed {
    std::optional<Head> head; // nullopt: see `fault`
    ParseFault fault = ParseFault::Malformed;
    std::string detail = {}; // of a fault: what was found and what was expected
};

// Size of a message head including the blank line that ends it; nullopt while the head is incomplete.
std::optional<std::size_t> headSize(std::string_view);

// Parse a complete head by the rules of docs/HTTP-SYNTAX.md. Ambiguous framing (Content-Length with Transfer-Encoding, differing
// Content-Length values, unknown transfer codings) is malformed.
Parsed<RequestHead> parseRequestHead(std::string_view);
// `hasBody` is false for the response to a HEAD request.
Parsed<ResponseHead> parseResponseHead(std::string_view, bool hasBody);

// Serialize a message. Content-Length is added where a body is present or the peer may expect one.
std::string toBytes(const Request&);
std::string toBytes(const Response&, bool keepAlive, bool withBody = true);
// The head alone, for a body of that framing; `length` counts with Framing::Length.
std::string headBytes(const Request&, Framing, std::size_t length);
std::string headBytes(const Response&, bool keepAlive, Framing, std::size_t length);
// One chunk of a chunked body, and the end of such a body.
std::string chunkBytes(std::string_view);
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

std::string_view reasonPhrase(int status);
// Whether a response with this status has a body (RFC 9110, 6.4.1).
bool mayHaveBody(int status);

// Percent-decoded value of a query parameter; empty if absent or not decodable.
std::string queryValue(std::string_view target, std::string_view name);
std::string percentEncoded(std::string_view);
// Path of a request target, without the query.
std::string_view pathOf(std::string_view target);

}
