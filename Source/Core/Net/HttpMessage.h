#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Net/HttpStatus.h"

namespace Net {

struct Header {
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

// Value of the first header of that name, case-insensitive; nothing when absent.
std::optional<std::string_view> findHeader(const Headers&, std::string_view name);
bool sameName(std::string_view, std::string_view);
// Whether a comma-separated header lists the token, case-insensitive.
bool listsToken(const Headers&, std::string_view name, std::string_view token);

// How the end of a body is known.
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
};

struct Response {
    int status = 0;
    std::string reason;
    Headers headers; // without those that concern one connection only
    std::string body;
};

// A response's head as received.
struct ResponseHead {
    Response response;
    Framing framing = Framing::None;
    std::size_t length = 0; // with Framing::Length
    bool keepAlive = true;
    std::optional<int> idleTimeoutS; // from Keep-Alive
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
    std::optional<Head> head; // nothing: see `fault`
    ParseFault fault = ParseFault::Malformed;
};

// Bytes up to and with the blank line that ends a head; nothing while it is incomplete.
std::optional<std::size_t> headSize(std::string_view);

// Parse a whole head. Ambiguous framing (both lengths, unlike lengths, unknown encodings) is malformed.
Parsed<RequestHead> parseRequestHead(std::string_view);
// `hasBody`: false for the answer to HEAD.
Parsed<ResponseHead> parseResponseHead(std::string_view, bool hasBody);

// Wire forms, with Content-Length where there is a body or one may be expected.
std::string toBytes(const Request&);
std::string toBytes(const Response&, bool keepAlive, bool withBody = true);

std::string_view reasonOf(int status);

// Value of a query parameter, decoded; empty when absent.
std::string queryValue(std::string_view target, std::string_view name);
std::string percentEncoded(std::string_view);
// Path of a target, without its query.
std::string_view pathOf(std::string_view target);

}
