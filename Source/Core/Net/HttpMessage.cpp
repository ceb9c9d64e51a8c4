#include "Net/HttpMessage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <set>

#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>
#include <Poco/URI.h>

namespace Net {

namespace {

    constexpr std::string_view headTerminator = "\r\n\r\n";

    // Hop-by-hop headers, which are never forwarded (RFC 9110, 7.6.1).
    constexpr std::array<std::string_view, 9> hopByHopHeaders {
        "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE", "Trailer", "Upgrade", "Content-Length", "Expect"
    };

    bool isHopByHopHeader(std::string_view name)
    {
        return std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), [&](auto it) { return equalsIgnoringCase(it, name); });
    }

    std::string_view trimWhitespace(std::string_view text)
    {
        auto first = text.find_first_not_of(" \t");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    // Calls `use` for each element of a comma-separated list.
    template <typename Use>
    void forEachToken(std::string_view list, Use use)
    {
        while (!list.empty()) {
            auto comma = std::min(list.find(','), list.size());
            use(trimWhitespace(list.substr(0, comma)));
            list.remove_prefix(std::min(comma + 1, list.size()));
        }
    }

    struct BodyFraming {
        Framing framing = Framing::None;
        std::size_t length = 0;
        bool valid = true;
    };

    // RFC 9112, 6.3, but stricter: ambiguous framing is rejected, since two parsers could disagree on where the body ends (request smuggling).
    BodyFraming bodyFraming(const Headers& all)
    {
        BodyFraming rule;
        for (const auto& header : all) {
            if (equalsIgnoringCase(header.name, "Transfer-Encoding")) {
                rule.valid = rule.valid && rule.framing == Framing::None && equalsIgnoringCase(trimWhitespace(header.value), "chunked");
                rule.framing = Framing::Chunked;
            } else if (equalsIgnoringCase(header.name, "Content-Length")) {
                auto text = trimWhitespace(header.value);
                std::size_t length = 0;
                auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), length);
                auto isNumber = ec == std::errc() && rest == text.data() + text.size() && !text.empty();
                auto isSame = rule.framing == Framing::None || (rule.framing == Framing::Length && rule.length == length);
                rule.valid = rule.valid && isNumber && isSame;
                rule.framing = Framing::Length;
                rule.length = length;
            }
        }
        return rule;
    }

    bool isPersistent(const std::string& version, const Headers& all)
    {
        if (headerHasToken(all, "Connection", "close"))
            return false;
        return version == Poco::Net::HTTPMessage::HTTP_1_1 || headerHasToken(all, "Connection", "keep-alive");
    }

    // Drops hop-by-hop headers and the headers named by the Connection header.
    Headers endToEndHeaders(const Headers& all)
    {
        std::set<std::string> named;
        for (const auto& header : all) {
            if (equalsIgnoringCase(header.name, "Connection"))
                forEachToken(header.value, [&](auto token) { named.insert(Poco::toLower(std::string(token))); });
        }
        Headers kept;
        for (const auto& header : all) {
            if (!named.contains(Poco::toLower(header.name)) && !isHopByHopHeader(header.name))
                kept.push_back(header);
        }
        return kept;
    }

    // CR, LF and NUL delimit or end fields for other parsers of the message (RFC 9110, 5.5).
    bool isDelimiter(char c)
    {
        return c == '\r' || c == '\n' || c == '\0';
    }

    bool hasDelimiter(std::string_view text)
    {
        return std::any_of(text.begin(), text.end(), isDelimiter);
    }

    // The fields of a head, values as received: Poco decodes encoded words (RFC 2047) in values, which may yield line breaks. nullopt for
    // lines without a colon, names with white space and bare CR, LF or NUL, the start line included.
    std::optional<Headers> parseFields(std::string_view head)
    {
        Headers fields;
        auto lineEnd = head.find("\r\n");
        if (hasDelimiter(head.substr(0, lineEnd)))
            return std::nullopt;
        for (auto rest = head.substr(lineEnd + 2); rest.size() > 2; rest.remove_prefix(std::min(lineEnd + 2, rest.size()))) {
            lineEnd = rest.find("\r\n");
            auto line = rest.substr(0, lineEnd);
            auto colon = line.find(':');
            if (colon == 0 || colon == std::string_view::npos)
                return std::nullopt;
            auto name = line.substr(0, colon);
            auto isNameInvalid = std::any_of(name.begin(), name.end(), [](char c) { return c <= ' ' || c == '\x7f'; });
            if (isNameInvalid || hasDelimiter(line))
                return std::nullopt;
            fields.push_back({ .name = std::string(name), .value = std::string(trimWhitespace(line.substr(colon + 1))) });
        }
        return fields;
    }

    // Appends text to a message head. Delimiters are replaced, so that no value can end its line, wherever it comes from.
    void appendText(std::string& bytes, std::string_view text)
    {
        std::transform(text.begin(), text.end(), std::back_inserter(bytes), [](char c) { return isDelimiter(c) ? ' ' : c; });
    }

    void appendFields(std::string& bytes, const Headers& headers)
    {
        for (const auto& header : headers) {
            appendText(bytes, header.name);
            bytes += ": ";
            appendText(bytes, header.value);
            bytes += "\r\n";
        }
    }

    ParseFault parseFaultOf(const Poco::Exception& ec)
    {
        const auto& text = ec.message();
        return text.find("too long") != std::string::npos ? ParseFault::HeadTooLarge : ParseFault::Malformed;
    }

    // Parses the start line into a Poco message. The fields are left out: Poco limits their number and size, whatever the configuration
    // allows.
    template <typename Message>
    std::optional<ParseFault> parseStartLine(Message& message, std::string_view bytes)
    {
        auto head = std::string(bytes.substr(0, bytes.find("\r\n"))).append(headTerminator);
        try {
            Poco::MemoryInputStream stream(head.data(), static_cast<std::streamsize>(head.size()));
            message.read(stream);
        } catch (const Poco::Exception& ec) {
            return parseFaultOf(ec);
        }
        return std::nullopt;
    }

    std::optional<int> parseIdleTimeout(const Headers& all)
    {
        auto value = findHeader(all, "Keep-Alive");
        std::optional<int> seconds;
        if (value) {
            forEachToken(*value, [&](std::string_view token) {
                constexpr std::string_view key = "timeout=";
                int n = 0;
                if (token.starts_with(key) && std::from_chars(token.data() + key.size(), token.data() + token.size(), n).ec == std::errc())
                    seconds = n;
            });
        }
        return seconds;
    }

}

bool mayHaveBody(int status)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return status >= 200 && status != noContent && status != notModified;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [&](char x, char y) { return lower(x) == lower(y); });
}

std::optional<std::string_view> findHeader(const Headers& headers, std::string_view name)
{
    auto it = std::find_if(headers.begin(), headers.end(), [&](const auto& header) { return equalsIgnoringCase(header.name, name); });
    return it == headers.end() ? std::nullopt : std::optional<std::string_view>(it->value);
}

bool headerHasToken(const Headers& headers, std::string_view name, std::string_view token)
{
    auto found = false;
    for (const auto& header : headers) {
        if (equalsIgnoringCase(header.name, name))
            forEachToken(header.value, [&](auto it) { found = found || equalsIgnoringCase(it, token); });
    }
    return found;
}

std::optional<std::size_t> headSize(std::string_view bytes)
{
    auto end = bytes.find(headTerminator);
    return end == std::string_view::npos ? std::nullopt : std::optional<std::size_t>(end + headTerminator.size());
}

Parsed<RequestHead> parseRequestHead(std::string_view bytes)
{
    auto fields = parseFields(bytes);
    if (!fields)
        return {};
    Poco::Net::HTTPRequest message;
    if (auto fault = parseStartLine(message, bytes))
        return { .head = {}, .fault = *fault };
    auto rule = bodyFraming(*fields);
    const auto& target = message.getURI();
    // Poco accepts other white space and further words. A server that reads the line otherwise would serve another path.
    if (bytes.substr(0, bytes.find("\r\n")) != message.getMethod() + " " + target + " " + message.getVersion())
        return {};
    if (!rule.valid || target.empty() || target.front() != '/' || !message.getVersion().starts_with("HTTP/1."))
        return {};
    RequestHead head;
    head.request = {
        .method = message.getMethod(),
        .target = target,
        .headers = endToEndHeaders(*fields),
        .body = {},
        .keepAlive = isPersistent(message.getVersion(), *fields),
        .acceptsChunks = message.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1,
    };
    head.framing = rule.framing;
    head.length = rule.length;
    head.expectsContinue = headerHasToken(*fields, "Expect", "100-continue");
    return { .head = std::move(head) };
}

Parsed<ResponseHead> parseResponseHead(std::string_view bytes, bool hasBody)
{
    auto fields = parseFields(bytes);
    if (!fields)
        return {};
    Poco::Net::HTTPResponse message;
    if (auto fault = parseStartLine(message, bytes))
        return { .head = {}, .fault = *fault };
    auto rule = bodyFraming(*fields);
    auto status = static_cast<int>(message.getStatus());
    if (!rule.valid || status < 100 || status > 999 || !message.getVersion().starts_with("HTTP/1."))
        return {};
    ResponseHead head;
    head.response = { .status = status, .reason = message.getReason(), .headers = endToEndHeaders(*fields), .body = {} };
    head.keepAlive = isPersistent(message.getVersion(), *fields);
    head.idleTimeoutS = parseIdleTimeout(*fields);
    if (hasBody && mayHaveBody(status)) {
        head.framing = rule.framing == Framing::None ? Framing::UntilClose : rule.framing;
        head.length = rule.length;
    }
    return { .head = std::move(head) };
}

std::string headBytes(const Request& request, Framing framing, std::size_t length)
{
    std::string bytes;
    appendText(bytes, request.method);
    bytes += ' ';
    appendText(bytes, request.target);
    bytes += " HTTP/1.1\r\n";
    appendFields(bytes, request.headers);
    auto hasLength = length > 0 || (request.method != "GET" && request.method != "HEAD");
    if (framing == Framing::Chunked)
        bytes += "Transfer-Encoding: chunked\r\n";
    else if (hasLength)
        bytes += "Content-Length: " + std::to_string(length) + "\r\n";
    return bytes += "\r\n";
}

std::string toBytes(const Request& request)
{
    return headBytes(request, Framing::Length, request.body.size()) += request.body;
}

std::string headBytes(const Response& response, bool keepAlive, Framing framing, std::size_t length)
{
    auto bytes = "HTTP/1.1 " + std::to_string(response.status) + " ";
    appendText(bytes, response.reason.empty() ? reasonPhrase(response.status) : response.reason);
    bytes += "\r\n";
    appendFields(bytes, response.headers);
    if (framing == Framing::Length && mayHaveBody(response.status))
        bytes += "Content-Length: " + std::to_string(length) + "\r\n";
    else if (framing == Framing::Chunked)
        bytes += "Transfer-Encoding: chunked\r\n";
    if (!keepAlive)
        bytes += "Connection: close\r\n";
    return bytes + "\r\n";
}

std::string chunkBytes(std::string_view part)
{
    std::array<char, 2 * sizeof(std::size_t)> digits;
    constexpr int hexadecimal = 16;
    auto [end, ec] = std::to_chars(digits.data(), digits.data() + digits.size(), part.size(), hexadecimal);
    std::string bytes(digits.data(), end);
    bytes += "\r\n";
    bytes += part;
    return bytes += "\r\n";
}

std::string toBytes(const Response& response, bool keepAlive, bool withBody)
{
    auto bytes = headBytes(response, keepAlive, Framing::Length, response.body.size());
    return withBody && mayHaveBody(response.status) ? bytes + response.body : bytes;
}

std::string_view reasonPhrase(int status)
{
    return Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string queryValue(std::string_view target, std::string_view name)
{
    auto path = pathOf(target);
    for (auto rest = target.substr(std::min(path.size() + 1, target.size())); !rest.empty();) {
        auto end = std::min(rest.find('&'), rest.size());
        auto pair = rest.substr(0, end);
        if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=') {
            std::string decoded;
            try {
                Poco::URI::decode(std::string(pair.substr(name.size() + 1)), decoded, true);
            } catch (const Poco::Exception&) {
                return {}; // an invalid percent escape counts as absent
            }
            return decoded;
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

std::string percentEncoded(std::string_view text)
{
    std::string encoded;
    Poco::URI::encode(std::string(text), "!#$&'()*+,/:;=?@[]%", encoded);
    return encoded;
}

}
