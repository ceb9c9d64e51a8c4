#include "Entry/RequestReader.h"

#include <algorithm>
#include <array>

#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <fmt/format.h>

namespace Entry {

namespace {

    using Common::ResultCode;
    using Poco::Net::HTTPMessage;
    using Poco::Net::HTTPServerRequestImpl;
    using Requests::Call;
    using Requests::fail;

    constexpr std::array methods { "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS" };

    bool refuse(Call& call, ResultCode code, std::string text)
    {
        fail(call, code, std::move(text));
        return false;
    }

    // Two lengths, or a length and chunks, are read differently by different programs: one request could pass for two.
    bool checkFraming(const HTTPServerRequestImpl& request, Call& call)
    {
        auto lengths = std::count_if(request.begin(), request.end(), [](const auto& header) { return Poco::icompare(header.first, HTTPMessage::CONTENT_LENGTH) == 0; });
        auto chunked = request.has(HTTPMessage::TRANSFER_ENCODING);
        if (lengths > 1 || (lengths == 1 && chunked))
            return refuse(call, ResultCode::BadRequest, "more than one statement of the body's length");
        if (chunked && !request.getChunkedTransferEncoding())
            return refuse(call, ResultCode::BadRequest, "Transfer-Encoding: only chunked is understood");
        // A copy: the library returns a reference to its own argument where the header is absent.
        std::string length = request.get(HTTPMessage::CONTENT_LENGTH, "0");
        auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
        Poco::Int64 value = 0;
        if (!std::all_of(length.begin(), length.end(), isDigit) || !Poco::NumberParser::tryParse64(length, value))
            return refuse(call, ResultCode::BadRequest, "Content-Length: expected a number of bytes");
        return true;
    }

    std::size_t headBytes(const Call& call)
    {
        constexpr std::size_t separators = 4; // ": " and the line's end
        auto n = call.method.size() + call.target.size() + sizeof("  HTTP/1.1\r\n\r\n");
        for (const auto& [name, value] : call.headers)
            n += name.size() + value.size() + separators;
        return n;
    }

    // The library takes a malformed chunk for the end of the body. A body that really ended was read up to its last chunk,
    // "0" with an optional extension, and the empty line behind it.
    bool endedWithLastChunk(CallerSession& session)
    {
        constexpr std::size_t tailBytes = 64;
        auto tail = session.callerSocket().tail(tailBytes, session.unread());
        constexpr std::string_view end = "\r\n\r\n";
        if (!tail.ends_with(end))
            return false;
        tail.resize(tail.size() - end.size());
        auto lineStart = tail.rfind("\r\n");
        auto line = std::string_view(tail).substr(lineStart == std::string::npos ? 0 : lineStart + 2);
        auto digits = line.substr(0, line.find_first_of("; \t"));
        return !digits.empty() && digits.find_first_not_of('0') == std::string_view::npos;
    }

}

CallerSession::CallerSession(const Poco::Net::StreamSocket& socket, const Poco::Net::HTTPServerParams::Ptr& params)
    : HTTPServerSession(socket, params)
    , m_socket(*static_cast<CallerSocket*>(socket.impl()))
{
}

bool readHead(HTTPServerRequestImpl& request, CallerSession& session, const Settings::CallerLimits& limits, Call& call)
{
    call.method = request.getMethod();
    call.target = request.getURI();
    call.headers.assign(request.begin(), request.end());
    if (headBytes(call) > static_cast<std::size_t>(limits.headBytes))
        return refuse(call, ResultCode::HeadTooLarge, fmt::format("request line and headers exceed {} bytes", limits.headBytes));
    if (session.callerSocket().ended() && session.unread() == 0)
        return refuse(call, ResultCode::BadRequest, "the connection ended within the request");
    if (request.getVersion() != HTTPMessage::HTTP_1_1 && request.getVersion() != HTTPMessage::HTTP_1_0)
        return refuse(call, ResultCode::BadRequest, "expected HTTP/1.1");
    if (std::find(methods.begin(), methods.end(), call.method) == methods.end())
        return refuse(call, ResultCode::MethodNotAllowed, fmt::format("method {} is not taken", call.method));
    return checkFraming(request, call);
}

bool readBody(HTTPServerRequestImpl& request, CallerSession& session, const Settings::CallerLimits& limits, Call& call)
{
    auto limit = static_cast<std::size_t>(limits.bodyBytes);
    auto tooLarge = fmt::format("the body exceeds {} bytes", limit);
    auto hasLength = request.hasContentLength();
    if (hasLength && request.getContentLength64() > static_cast<Poco::Int64>(limit))
        return refuse(call, ResultCode::BodyTooLarge, tooLarge);
    if (!hasLength && !request.getChunkedTransferEncoding())
        return true;
    if (request.getExpectContinue())
        request.response().sendContinue();
    constexpr std::size_t pieceBytes = 16 * 1024;
    std::array<char, pieceBytes> buf;
    auto& in = request.stream();
    while (in.good() && call.body.size() <= limit) {
        in.read(buf.data(), static_cast<std::streamsize>(buf.size()));
        call.body.append(buf.data(), static_cast<std::size_t>(in.gcount()));
    }
    if (const auto* ec = session.networkException())
        ec->rethrow();
    if (call.body.size() > limit)
        return refuse(call, ResultCode::BodyTooLarge, tooLarge);
    if (hasLength && static_cast<Poco::Int64>(call.body.size()) != request.getContentLength64())
        return refuse(call, ResultCode::BadRequest, "the body ended before its stated length");
    if (!hasLength && !endedWithLastChunk(session))
        return refuse(call, ResultCode::BadRequest, "the chunked body is malformed or ended before its last chunk");
    return true;
}

}
