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
    BodyFraming bodyFraming(const Headers& all, int minorVersion)
    {
        BodyFraming rule;
        for (const auto& header : all) {
            if (equalsIgnoringCase(header.name, "Transfer-Encoding")) {
                // HTTP/1.0 has no chunks: such a body's end is where the sender and a proxy of that version may disagree (RFC 9112, 6.1).
                auto isKnown = minorVersion > 0 && equalsIgnoringCase(trimWhitespace(header.value), "chunked");
                rule.valid = rule.valid && rule.framing == Framing::None && isKnown;
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

    bool isPersistent(int minorVersion, const Headers& all)
    {
        if (headerHasToken(all, "Connection", "close"))
            return false;
        return minorVersion > 0 || headerHasToken(all, "Connection", "keep-alive");
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

    std::string_view startLineOf(std::string_view head)
    {
        return head.substr(0, head.find("\r\n"));
    }

    // The fields of a head, values as received: Poco decodes encoded words (RFC 2047) in values, which may yield line breaks. nullopt and
    // the line in `malformed` if one has no colon, no token for a name, or control characters.
    std::optional<Headers> parseFields(std::string_view head, std::string_view& malformed)
    {
        Headers fields;
        auto lineEnd = head.find("\r\n");
        for (auto rest = head.substr(lineEnd + 2); rest.size() > 2; rest.remove_prefix(std::min(lineEnd + 2, rest.size()))) {
            lineEnd = rest.find("\r\n");
            auto line = rest.substr(0, lineEnd);
            if (!isFieldLine(line)) {
                malformed = line;
                return std::nullopt;
            }
            auto colon = line.find(':');
            fields.push_back({ .name = std::string(line.substr(0, colon)), .value = std::string(trimWhitespace(line.substr(colon + 1))) });
        }
        return fields;
    }

    std::string unexpected(std::string_view what, std::string_view got)
    {
        return std::string(what) + ", got '" + excerpt(got) + "'";
    }

    constexpr std::string_view expectedField = "expected a field line with a token for a name and no control characters";

    constexpr std::string_view expectedFraming = "expected one Content-Length or chunked alone (not in HTTP/1.0), got other framing";

    std::size_t countOf(const Headers& headers, std::string_view name)
    {
        return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(), [&](const auto& it) { return equalsIgnoringCase(it.name, name); }));
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

    // Parses the request line into a Poco message. The fields are left out: Poco limits their number and size, whatever the
    // configuration allows.
    std::optional<ParseFault> parseRequestLine(Poco::Net::HTTPRequest& message, std::string_view line)
    {
        auto head = std::string(line).append(headTerminator);
        try {
            Poco::MemoryInputStream stream(head.data(), static_cast<std::streamsize>(head.size()));
            message.read(stream);
        } catch (const Poco::Exception& ec) {
            return parseFaultOf(ec);
        }
        return std::nullopt;
    }

    // Whether Poco has read the line as any other parser would: it accepts other white space and further words. A server that reads the
    // line otherwise would serve another path.
    bool isPlainRequestLine(const Poco::Net::HTTPRequest& message, std::string_view line)
    {
        const auto& target = message.getURI();
        const auto& version = message.getVersion();
        constexpr std::string_view anyVersion = "HTTP/1.x";
        auto isKnownVersion = version.size() == anyVersion.size() && version.starts_with("HTTP/1.") && version.back() >= '0' && version.back() <= '9';
        return line == message.getMethod() + " " + target + " " + version && isToken(message.getMethod()) && isKnownVersion
            && target.starts_with('/') && isFieldValue(target);
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
    auto line = startLineOf(bytes);
    Poco::Net::HTTPRequest message;
    if (auto fault = parseRequestLine(message, line))
        return { .head = {}, .fault = *fault, .detail = unexpected("expected a request line", line) };
    if (!isPlainRequestLine(message, line))
        return { .head = {}, .detail = unexpected("expected a token, a path and HTTP/1.x, with single spaces between", line) };
    std::string_view malformed;
    auto fields = parseFields(bytes, malformed);
    // The line may hold a secret of the caller, and the detail is logged.
    if (!fields)
        return { .head = {}, .detail = std::string(expectedField) + ", got one of " + std::to_string(malformed.size()) + " bytes" };
    auto minorVersion = message.getVersion().back() - '0';
    auto rule = bodyFraming(*fields, minorVersion);
    if (!rule.valid)
        return { .head = {}, .detail = std::string(expectedFraming) };
    // Which host is meant would depend on the parser (RFC 9112, 3.2).
    if (countOf(*fields, "Host") > 1)
        return { .head = {}, .detail = "expected one Host field, got several" };
    RequestHead head;
    head.request = {
        .method = message.getMethod(),
        .target = message.getURI(),
        .headers = endToEndHeaders(*fields),
        .body = {},
        .keepAlive = isPersistent(minorVersion, *fields),
        .acceptsChunks = minorVersion > 0,
    };
    head.framing = rule.framing;
    head.length = rule.length;
    head.expectsContinue = headerHasToken(*fields, "Expect", "100-continue");
    return { .head = std::move(head) };
}

Parsed<ResponseHead> parseResponseHead(std::string_view bytes, bool hasBody)
{
    auto line = startLineOf(bytes);
    auto statusLine = parseStatusLine(line);
    if (!statusLine)
        return { .head = {}, .detail = unexpected("expected HTTP/1.x and a status from 100 to 599", line) };
    std::string_view malformed;
    auto fields = parseFields(bytes, malformed);
    if (!fields)
        return { .head = {}, .detail = unexpected(expectedField, malformed) };
    auto rule = bodyFraming(*fields, statusLine->minorVersion);
    if (!rule.valid)
        return { .head = {}, .detail = std::string(expectedFraming) };
    ResponseHead head;
    head.response = { .status = statusLine->status, .reason = std::string(statusLine->reason), .headers = endToEndHeaders(*fields), .body = {} };
    head.keepAlive = isPersistent(statusLine->minorVersion, *fields);
    head.announcesClose = headerHasToken(*fields, "Connection", "close");
    head.idleTimeoutS = parseIdleTimeout(*fields);
    if (hasBody && mayHaveBody(statusLine->status)) {
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
