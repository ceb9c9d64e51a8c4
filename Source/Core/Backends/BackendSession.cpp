#include "Backends/BackendSession.h"

#include <algorithm>
#include <array>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include "Backends/ChunkedBody.h"

namespace Backends {

namespace {

    using Decisions::AttemptEnd;
    using Decisions::AttemptFault;
    using Decisions::AttemptStage;
    using Poco::Net::HTTPRequest;

    constexpr int firstFinalStatus = 200;
    constexpr std::size_t maxHeadBytes = 64 * 1024;

    Common::TimePoint now()
    {
        return Common::TimePoint(std::chrono::steady_clock::now());
    }

    Poco::Timespan toTimespan(Common::Duration duration)
    {
        auto us = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
        return { std::max<Poco::Timespan::TimeDiff>(us, 1) };
    }

    bool statesBody(const HTTPRequest& head, std::string_view body)
    {
        return !body.empty() || head.getMethod() == HTTPRequest::HTTP_POST || head.getMethod() == HTTPRequest::HTTP_PUT || head.getMethod() == HTTPRequest::HTTP_PATCH;
    }

}

bool isCleanRequest(const BackendRequest& request)
{
    auto visible = [](char c) { return c > ' ' && c != '\x7f'; };
    auto cleanHeader = [](const Header& header) { return Net::isToken(header.first) && Net::isFieldValue(header.second); };
    return Net::isToken(request.method) && !request.target.empty() && std::all_of(request.target.begin(), request.target.end(), visible)
        && std::all_of(request.headers.begin(), request.headers.end(), cleanHeader);
}

BackendSession::BackendSession(SessionOptions options)
    : HTTPClientSession(Poco::Net::StreamSocket(new BackendSocket))
    , m_options(std::move(options))
    , m_socket(static_cast<BackendSocket*>(socket().impl()))
{
    Poco::Net::SocketAddress address(m_options.address);
    setHost(address.host().toString());
    setPort(address.port());
    setKeepAlive(true);
}

AttemptEnd BackendSession::open(Common::Duration timeout)
{
    try {
        auto span = toTimespan(timeout);
        setTimeout(span, span, span);
        // Not reconnect(): that one belongs to the library's own decisions.
        HTTPSession::connect(Poco::Net::SocketAddress(m_options.address));
        m_socket->configure(m_options.silence);
        m_lastHeard = now();
        return { .stage = AttemptStage::BeforeSend };
    } catch (const Poco::TimeoutException&) {
        return { .stage = AttemptStage::Connecting, .fault = AttemptFault::TimedOut };
    } catch (const Poco::Exception&) {
        return { .stage = AttemptStage::Connecting, .fault = AttemptFault::Refused };
    }
}

AttemptEnd BackendSession::send(const BackendRequest& request, Common::Duration timeout)
{
    m_socket->resetCounts();
    m_reusable = false;
    m_silentSince.reset();
    if (!isCleanRequest(request))
        return endOfSend(AttemptFault::Malformed);
    try {
        if (isStale())
            return endOfSend(AttemptFault::Closed);
        m_sentAt = now();
        m_socket->setDeadline(m_sentAt + timeout);
        HTTPRequest head(request.method, request.target, HTTPRequest::HTTP_1_1);
        m_head = request.method == HTTPRequest::HTTP_HEAD;
        for (const auto& [name, value] : request.headers)
            head.add(name, value);
        head.setKeepAlive(true);
        if (statesBody(head, request.body))
            head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        m_outgoing.clear();
        sendRequest(head);
        flushRequest();
        m_outgoing.append(request.body);
        for (std::size_t done = 0; done < m_outgoing.size();)
            done += static_cast<std::size_t>(m_socket->sendBytes(m_outgoing.data() + done, static_cast<int>(m_outgoing.size() - done)));
        return { .stage = AttemptStage::Sent };
    } catch (const Poco::TimeoutException&) {
        return endOfSend(AttemptFault::TimedOut);
    } catch (const Poco::Exception&) {
        return endOfSend(AttemptFault::Closed);
    }
}

AttemptEnd BackendSession::receive(BackendAnswer& answer, Common::TimePoint deadline)
{
    try {
        m_socket->setDeadline(deadline);
        Net::ResponseHead head;
        do {
            if (auto fault = readHead(head); fault != AttemptFault::None)
                return endOfReceive(fault);
        } while (head.response.status < firstFinalStatus && head.response.status != Poco::Net::HTTPResponse::HTTP_SWITCHING_PROTOCOLS);
        // Nobody asked for another protocol.
        if (head.response.status < firstFinalStatus)
            return endOfReceive(AttemptFault::Malformed);
        answer.status = head.response.status;
        answer.headers.clear();
        for (const auto& [name, value] : head.response.headers)
            answer.headers.emplace_back(name, value);
        if (auto fault = readBody(head, answer); fault != AttemptFault::None)
            return endOfReceive(fault);
        m_lastHeard = now();
        m_reusable = head.keepAlive && buffered() == 0;
        // Only a whole answer may prove that the request did not run.
        auto proven = answer.status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE && Net::findHeader(head.response.headers, "Cowslipledge-Not-Run") == "1";
        return { .stage = AttemptStage::Answered, .status = answer.status, .provenNotRun = proven };
    } catch (const Poco::TimeoutException&) {
        return endOfReceive(AttemptFault::TimedOut);
    } catch (const Poco::Exception&) {
        return endOfReceive(AttemptFault::Closed);
    }
}

AttemptEnd BackendSession::abandon(AttemptFault fault)
{
    auto end = endOfReceive(fault);
    close();
    return end;
}

void BackendSession::closeStale()
{
    close();
    m_socket->resetCounts();
}

int BackendSession::write(const char* buffer, std::streamsize length)
{
    // Collected, so that head and body leave in one write, and so that the library's own write, which may reconnect
    // and send a second time, is never reached.
    m_outgoing.append(buffer, static_cast<std::size_t>(length));
    return static_cast<int>(length);
}

bool BackendSession::isStale()
{
    // An idle connection that is readable was closed, or holds bytes nobody asked for.
    return !connected() || buffered() > 0 || socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ | Poco::Net::Socket::SELECT_ERROR);
}

AttemptEnd BackendSession::endOfSend(AttemptFault fault) const
{
    return { .stage = m_socket->bytesSent() == 0 ? AttemptStage::BeforeSend : AttemptStage::PartlySent, .fault = fault };
}

AttemptEnd BackendSession::endOfReceive(AttemptFault fault)
{
    m_reusable = false;
    auto silent = m_socket->bytesReceived() == 0;
    if (silent && fault == AttemptFault::TimedOut)
        m_silentSince = m_sentAt;
    return { .stage = silent ? AttemptStage::Sent : AttemptStage::PartlyAnswered, .fault = fault };
}

// Not by the library, which skips lines that are no fields, decodes values and accepts any status.
AttemptFault BackendSession::readHead(Net::ResponseHead& head)
{
    std::string bytes;
    while (!bytes.ends_with("\r\n\r\n")) {
        auto c = get();
        if (c < 0)
            return bytes.empty() ? AttemptFault::Closed : AttemptFault::Malformed;
        bytes += static_cast<char>(c);
        if (bytes.size() > maxHeadBytes)
            return AttemptFault::Malformed;
    }
    auto parsed = Net::parseResponseHead(bytes, !m_head);
    if (!parsed.head)
        return AttemptFault::Malformed;
    head = std::move(*parsed.head);
    return AttemptFault::None;
}

AttemptFault BackendSession::readBody(const Net::ResponseHead& head, BackendAnswer& answer)
{
    // Read past the library's streams, which hand over a body cut short as if it were whole.
    ByteSource source { .get = [this] { return get(); }, .read = [this](char* buffer, int length) { return read(buffer, length); } };
    switch (head.framing) {
    case Net::Framing::None:
        return AttemptFault::None;
    case Net::Framing::Length:
        return head.length > m_options.answerBytes ? AttemptFault::TooLarge : readFixedBody(source, head.length, answer.body);
    case Net::Framing::Chunked:
        return readChunkedBody(source, m_options.answerBytes, answer.body);
    case Net::Framing::UntilClose:
        break;
    }
    // Without a length or chunks the end of the body is the end of the connection: a cut would pass for a whole answer.
    return AttemptFault::CutShort;
}

}
