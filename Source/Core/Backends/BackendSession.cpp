#include "Backends/BackendSession.h"

#include <array>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

namespace Backends {

namespace {

    using Decisions::AttemptEnd;
    using Decisions::AttemptFault;
    using Decisions::AttemptStage;
    using Poco::Net::HTTPResponse;

    Common::TimePoint now()
    {
        return Common::TimePoint(std::chrono::steady_clock::now());
    }

    Poco::Timespan toTimespan(Common::Duration duration)
    {
        auto us = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
        return { std::max<Poco::Timespan::TimeDiff>(us, 1) };
    }

    bool hasNoBody(int status)
    {
        constexpr int firstFinal = 200;
        return status < firstFinal || status == HTTPResponse::HTTP_NO_CONTENT || status == HTTPResponse::HTTP_NOT_MODIFIED;
    }

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
        setTimeouts(timeout);
        // Not reconnect(): that one belongs to the library's own decisions.
        HTTPSession::connect(Poco::Net::SocketAddress(m_options.address));
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
    if (isStale())
        return endOfSend(AttemptFault::Closed);
    try {
        setTimeouts(timeout);
        m_head = request.method == Poco::Net::HTTPRequest::HTTP_HEAD;
        Poco::Net::HTTPRequest head(request.method, request.target, Poco::Net::HTTPRequest::HTTP_1_1);
        for (const auto& [name, value] : request.headers)
            head.set(name, value);
        head.setKeepAlive(true);
        if (!request.body.empty() || request.method == Poco::Net::HTTPRequest::HTTP_POST || request.method == Poco::Net::HTTPRequest::HTTP_PUT)
            head.setContentLength(static_cast<std::streamsize>(request.body.size()));
        m_outgoing.clear();
        sendRequest(head).write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
        flushRequest();
        for (std::size_t done = 0; done < m_outgoing.size();)
            done += static_cast<std::size_t>(socket().sendBytes(m_outgoing.data() + done, static_cast<int>(m_outgoing.size() - done)));
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
        setTimeouts(deadline - now());
        HTTPResponse response;
        auto& in = receiveResponse(response);
        answer.status = response.getStatus();
        answer.headers.assign(response.begin(), response.end());
        auto fault = AttemptFault::None;
        if (!m_head && !hasNoBody(answer.status)) {
            // Without a length or chunks the end of the body is the end of the connection: a cut would pass for a whole answer.
            if (!response.hasContentLength() && !response.getChunkedTransferEncoding())
                return endOfReceive(AttemptFault::CutShort);
            fault = readBody(in, answer, deadline);
            // The library hands over a body cut short as if it were whole.
            if (fault == AttemptFault::None && response.hasContentLength() && static_cast<std::streamsize>(answer.body.size()) != response.getContentLength())
                fault = AttemptFault::CutShort;
        }
        // A whole answer never needs the end of the connection to be read.
        if (fault == AttemptFault::None && m_socket->ended())
            fault = AttemptFault::CutShort;
        if (fault != AttemptFault::None)
            return endOfReceive(fault);
        m_lastHeard = now();
        m_reusable = response.getKeepAlive() && buffered() == 0;
        return { .stage = AttemptStage::Answered, .status = answer.status, .provenNotRun = answer.status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE && response.get("Cowslipledge-Not-Run", "") == "1" };
    } catch (const Poco::TimeoutException&) {
        return endOfReceive(AttemptFault::TimedOut);
    } catch (const Poco::Net::MessageException&) {
        return endOfReceive(AttemptFault::Malformed);
    } catch (const Poco::Exception&) {
        return endOfReceive(AttemptFault::Closed);
    }
}

void BackendSession::closeNow()
{
    m_reusable = false;
    close();
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

AttemptEnd BackendSession::endOfReceive(AttemptFault fault) const
{
    return { .stage = m_socket->bytesReceived() == 0 ? AttemptStage::Sent : AttemptStage::PartlyAnswered, .fault = fault };
}

AttemptFault BackendSession::readBody(std::istream& in, BackendAnswer& answer, Common::TimePoint deadline)
{
    constexpr std::size_t pieceBytes = 16 * 1024;
    std::array<char, pieceBytes> buf;
    while (in.good()) {
        auto left = deadline - now();
        if (left <= Common::Duration::zero())
            return AttemptFault::TimedOut;
        // A server that trickles its answer must not outlast the deadline piece by piece.
        setTimeouts(left);
        in.read(buf.data(), static_cast<std::streamsize>(buf.size()));
        answer.body.append(buf.data(), static_cast<std::size_t>(in.gcount()));
        if (answer.body.size() > m_options.answerBytes)
            return AttemptFault::TooLarge;
    }
    if (const auto* ec = networkException())
        return dynamic_cast<const Poco::TimeoutException*>(ec) ? AttemptFault::TimedOut : AttemptFault::Closed;
    return AttemptFault::None;
}

void BackendSession::setTimeouts(Common::Duration timeout)
{
    auto span = toTimespan(timeout);
    setTimeout(span, span, span);
    if (connected()) {
        socket().setReceiveTimeout(span);
        socket().setSendTimeout(span);
    }
}

}
