#include <algorithm>
#include <limits>
#include <optional>

#include "Net/BodyDecoder.h"
#include "Net/HttpMessage.h"
#include "Targets.h"

namespace Fuzz {

namespace {

    using Net::Framing;
    using State = Net::BodyDecoder::State;

    constexpr std::size_t noLimit = std::numeric_limits<std::size_t>::max();

    // Written apart from Net/MessageSyntax, which is under test.
    bool isVisible(unsigned char c)
    {
        return c > 0x20 && c != 0x7f;
    }

    bool isTokenOnly(const std::string& text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
            return isVisible(c) && c < 0x80 && std::string_view("\"(),/:;<=>?@[\\]{}").find(static_cast<char>(c)) == std::string_view::npos;
        });
    }

    bool isTextOnly(const std::string& text)
    {
        return std::all_of(text.begin(), text.end(), [](unsigned char c) { return isVisible(c) || c == ' ' || c == '\t'; });
    }

    void checkHeaders(const Net::Headers& headers)
    {
        for (const auto& header : headers) {
            require(isTokenOnly(header.name), "accepted field name is no token");
            require(isTextOnly(header.value), "accepted field value has a control character");
        }
    }

    bool areEqual(const Net::Headers& a, const Net::Headers& b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) { return x.name == y.name && x.value == y.value; });
    }

    template <typename Head>
    bool areFramedAlike(const Head& a, const Head& b)
    {
        // No body and an empty one are written alike, depending on the method.
        auto lengthOf = [](const Head& head) { return head.framing == Framing::Length ? head.length : 0; };
        auto kindOf = [](const Head& head) { return head.framing == Framing::None ? Framing::Length : head.framing; };
        return kindOf(a) == kindOf(b) && lengthOf(a) == lengthOf(b);
    }

    struct Decoded {
        State state = State::NeedsMore;
        std::string body;
        std::string rest;
        bool operator==(const Decoded&) const = default;
    };

    // Feeds the input in two parts, or byte by byte with `split` nullopt, and then its end.
    Decoded decode(const std::string& input, Framing framing, std::size_t length, std::size_t maxBytes, std::optional<std::size_t> split)
    {
        Net::BodyDecoder decoder(framing, length, maxBytes);
        Decoded decoded;
        for (std::size_t at = 0; at < input.size();) {
            auto n = !split ? 1 : at == 0 && *split > 0 ? *split
                                                        : input.size() - at;
            decoded.rest += input.substr(at, n);
            decoder.feed(decoded.rest);
            at += n;
        }
        decoder.end();
        decoded.state = decoder.state();
        decoded.body = decoder.takeBody();
        return decoded;
    }

    void checkDecoder(const std::string& input, Framing framing, std::size_t length)
    {
        auto whole = decode(input, framing, length, noLimit, 0);
        require(whole.body.size() + whole.rest.size() <= input.size(), "decoder gave more bytes than it got");
        require(whole.state != State::Complete || framing != Framing::Length || whole.body.size() == length, "complete body has another length");
        require(decode(input, framing, length, noLimit, std::nullopt) == whole, "decoder gives another result byte by byte");
        constexpr std::size_t maxSplits = 32;
        for (std::size_t i = 0; i < input.size(); i += 1 + input.size() / maxSplits)
            require(decode(input, framing, length, noLimit, i) == whole, "decoder gives another result in two parts");
        // What is left of a body that is too large depends on the parts, the verdict does not.
        constexpr std::size_t smallLimit = 8;
        auto limited = decode(input, framing, length, smallLimit, 0);
        require(limited.body.size() <= smallLimit, "decoder holds more than its limit");
        require(decode(input, framing, length, smallLimit, std::nullopt).state == limited.state, "decoder's limit depends on the parts");
    }

    // Decodes a message that the product wrote itself.
    void checkBody(const std::string& bytes, Framing framing, std::size_t length, const std::string& body)
    {
        auto decoded = decode(bytes.substr(*Net::headSize(bytes)), framing, length, noLimit, 0);
        require(decoded == Decoded { .state = State::Complete, .body = body, .rest = {} }, "body is not read back as written");
    }

    // An accepted body, written in two chunks behind the head and followed by the next message. `head` is a Request or a Response.
    void checkChunkedBody(const std::string& head, const std::string& body)
    {
        const std::string next = "GET /next HTTP/1.1\r\n";
        for (std::size_t split : { std::size_t(0), body.size() / 2 }) {
            auto bytes = head;
            // A chunk without bytes would end the body.
            for (const auto& part : { body.substr(0, split), body.substr(split) })
                bytes += part.empty() ? std::string() : Net::chunkBytes(part);
            bytes += Net::lastChunk;
            auto decoded = decode(bytes.substr(*Net::headSize(bytes)) + next, Framing::Chunked, 0, noLimit, 0);
            require(decoded == Decoded { .state = State::Complete, .body = body, .rest = next }, "chunked body is not read back as written");
        }
    }

    void checkRequest(const std::string& headText, const std::string& rest)
    {
        auto head = Net::parseRequestHead(headText).head;
        if (!head)
            return;
        const auto& request = head->request;
        require(isTokenOnly(request.method), "accepted method is no token");
        require(request.target.starts_with('/') && std::all_of(request.target.begin(), request.target.end(), isVisible), "accepted target is no path or has blanks");
        checkHeaders(request.headers);
        auto check = [&](const std::string& bytes, const Net::RequestHead& expected) {
            auto again = Net::parseRequestHead(bytes.substr(0, Net::headSize(bytes).value_or(0))).head;
            require(again.has_value(), "accepted request is malformed when written again");
            require(again->request.method == request.method && again->request.target == request.target, "request line is not read back as written");
            require(areEqual(again->request.headers, request.headers) && areFramedAlike(*again, expected), "request's fields or framing are not read back as written");
        };
        check(Net::headBytes(request, head->framing, head->length), *head);
        auto decoded = decode(rest, head->framing, head->length, noLimit, 0);
        if (decoded.state != State::Complete)
            return;
        head->request.body = decoded.body;
        head->framing = Framing::Chunked;
        auto chunkedHead = Net::headBytes(request, Framing::Chunked, 0);
        check(chunkedHead, *head);
        checkChunkedBody(chunkedHead, decoded.body);
        head->framing = Framing::Length;
        head->length = decoded.body.size();
        auto bytes = Net::toBytes(request);
        check(bytes, *head);
        checkBody(bytes, Framing::Length, head->length, decoded.body);
    }

    void checkResponse(const std::string& headText, const std::string& rest, bool hasBody)
    {
        auto head = Net::parseResponseHead(headText, hasBody).head;
        if (!head)
            return;
        const auto& response = head->response;
        require(response.status >= 100 && response.status <= 599, "accepted status is not from 100 to 599");
        require(isTextOnly(response.reason), "accepted reason has a control character");
        checkHeaders(response.headers);
        auto check = [&](const std::string& bytes, const Net::ResponseHead& expected, bool keepAlive) {
            auto again = Net::parseResponseHead(bytes.substr(0, Net::headSize(bytes).value_or(0)), hasBody).head;
            require(again.has_value(), "accepted response is malformed when written again");
            require(again->response.status == response.status && again->keepAlive == keepAlive, "status or persistence is not read back as written");
            require(again->response.reason == response.reason || response.reason.empty(), "reason is not read back as written");
            auto headers = response.headers;
            // Named by `Connection: close` (RFC 9110, 18.4, reserves the name for that reason).
            if (!keepAlive)
                std::erase_if(headers, [](const auto& it) { return Net::equalsIgnoringCase(it.name, "close"); });
            require(areEqual(again->response.headers, headers) && areFramedAlike(*again, expected), "response's fields or framing are not read back as written");
        };
        for (auto keepAlive : { true, false })
            check(Net::headBytes(response, keepAlive, head->framing, head->length), *head, keepAlive);
        auto decoded = decode(rest, head->framing, head->length, noLimit, 0);
        if (decoded.state != State::Complete || !hasBody || !Net::mayHaveBody(response.status))
            return;
        head->response.body = decoded.body;
        head->framing = Framing::Chunked;
        auto chunkedHead = Net::headBytes(response, true, Framing::Chunked, 0);
        check(chunkedHead, *head, true);
        checkChunkedBody(chunkedHead, decoded.body);
        head->framing = Framing::Length;
        head->length = decoded.body.size();
        auto bytes = Net::toBytes(response, true);
        check(bytes, *head, true);
        checkBody(bytes, Framing::Length, head->length, decoded.body);
    }

}

// Invariants: an accepted head has no byte that another parser reads otherwise, and is read back as it is written; the decoder's result
// does not depend on how the stream is cut into parts.
void runHttp(const std::string& input)
{
    auto size = Net::headSize(input).value_or(input.size());
    auto head = input.substr(0, size);
    auto rest = input.substr(size);
    checkRequest(head, rest);
    checkResponse(head, rest, true);
    checkResponse(head, rest, false);
    for (const auto& bytes : { input, rest }) {
        checkDecoder(bytes, Framing::None, 0);
        checkDecoder(bytes, Framing::Chunked, 0);
        checkDecoder(bytes, Framing::UntilClose, 0);
        for (std::size_t length : { std::size_t(0), std::size_t(5), bytes.size(), bytes.size() + 1 })
            checkDecoder(bytes, Framing::Length, length);
    }
}

}
