#include "Net/HttpClient.h"

#include <array>
#include <limits>
#include <utility>

#include <netinet/tcp.h>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include "Common/NameTable.h"
#include "Net/SocketIo.h"

namespace Net {

namespace {

    using Common::EnumName;

    constexpr std::size_t readBufferBytes = 16 * 1024;
    constexpr std::size_t maxHeadBytes = 64 * 1024;
    // Before one final response.
    constexpr int maxInterimResponses = 16;
    // Request bytes that may wait to be sent before the source of a body given in parts has to pause.
    constexpr std::size_t maxUnsentBytes = 32 * 1024;
    // Reads of one connection before others get their turn.
    constexpr int maxReadsPerEvent = 4;

    constexpr std::array failureNames {
        EnumName<FailureKind> { FailureKind::Refused, "refused" },
        EnumName<FailureKind> { FailureKind::ConnectTimeout, "connect-timeout" },
        EnumName<FailureKind> { FailureKind::Reset, "reset" },
        EnumName<FailureKind> { FailureKind::Closed, "closed" },
        EnumName<FailureKind> { FailureKind::Malformed, "malformed" },
        EnumName<FailureKind> { FailureKind::TooLarge, "too-large" },
        EnumName<FailureKind> { FailureKind::RequestTimedOut, "overdue" },
    };

}

std::string_view failureName(FailureKind kind)
{
    return Common::nameOf(failureNames, kind);
}

std::string failureText(const ClientFailure& failure)
{
    auto text = std::string(failureName(failure.kind));
    return failure.detail.empty() ? text : text + ": " + failure.detail;
}

void configureSocket(Poco::Net::StreamSocket& socket, Common::Duration deadPeerTimeout, int sendBufferBytes)
{
    auto ms = static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(deadPeerTimeout).count());
    auto seconds = std::max(1, static_cast<int>(std::chrono::floor<std::chrono::seconds>(deadPeerTimeout).count()) - 1);
    socket.setNoDelay(true);
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, 1);
    // With this set, the number of keep-alive probes (TCP_KEEPCNT) has no effect.
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, ms);
    if (sendBufferBytes > 0)
        socket.setSendBufferSize(sendBufferBytes);
}

ClientConnection::ClientConnection(EventLoop& loop, const ClientOptions& options)
    : m_loop(loop)
    , m_options(options)
    , m_account(options.budget)
    , m_lastUsed(loop.now())
{
}

ClientConnection::~ClientConnection()
{
    close();
}

std::shared_ptr<ClientConnection> ClientConnection::open(EventLoop& loop, const std::string& address, const ClientOptions& options)
{
    std::shared_ptr<ClientConnection> connection(new ClientConnection(loop, options));
    connection->start(address);
    return connection;
}

void ClientConnection::start(const std::string& address)
{
    std::weak_ptr<ClientConnection> weak = weak_from_this();
    auto failDeferred = [this, weak](FailureKind kind) {
        m_loop.defer([weak, kind] {
            if (auto self = weak.lock())
                self->fail(kind);
        });
    };
    try {
        if (!m_options.sourceHost.empty())
            m_socket.impl()->bind(Poco::Net::SocketAddress(m_options.sourceHost, 0));
        m_socket.connectNB(Poco::Net::SocketAddress(address));
        m_socket.setBlocking(false);
        configureSocket(m_socket, m_options.deadPeerTimeout, m_options.sendBufferBytes);
    } catch (const Poco::Exception&) {
        return failDeferred(FailureKind::Refused);
    }
    m_loop.watch(m_socket, false, true, [weak](Readiness ready) {
        if (auto self = weak.lock())
            self->onReady(ready);
    });
    m_connectTimer = m_loop.after(m_options.connectTimeout, [weak] {
        if (auto self = weak.lock())
            self->fail(FailureKind::ConnectTimeout);
    });
}

void ClientConnection::send(std::string bytes, bool expectsBody, Common::Duration limit, ClientHandlers handlers)
{
    m_busy = true;
    m_bytesSent = false;
    m_expectsBody = expectsBody;
    m_out.assign(std::move(bytes));
    m_started = false;
    m_handlers = std::move(handlers);
    m_isBodyOpen = static_cast<bool>(m_handlers.roomForBody);
    std::weak_ptr<ClientConnection> weak = weak_from_this();
    m_requestTimer = m_loop.after(limit, [weak] {
        if (auto self = weak.lock())
            self->fail(FailureKind::RequestTimedOut);
    });
    if (m_connected)
        writeOut();
    updateAccount();
}

void ClientConnection::append(std::string_view bytes)
{
    if (m_closed || m_hasWriteFailed)
        return;
    m_out.append(bytes);
    if (m_connected)
        writeOut();
    updateAccount();
}

void ClientConnection::endBody()
{
    m_isBodyOpen = false;
}

bool ClientConnection::hasRoom() const
{
    return m_connected && !m_closed && !m_hasWriteFailed && m_out.size() <= maxUnsentBytes;
}

void ClientConnection::updateAccount()
{
    if (!m_closed)
        m_account.set(m_out.size() + m_in.size() + (m_body ? m_body->heldBytes() : 0));
}

void ClientConnection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    m_account.set(0);
    m_handlers = {};
    m_loop.cancel(m_connectTimer);
    m_loop.cancel(m_requestTimer);
    m_loop.unwatch(m_socket);
    try {
        m_socket.close();
    } catch (const Poco::Exception&) {
        // The socket was never opened.
    }
}

void ClientConnection::onReady(Readiness ready)
{
    auto keep = shared_from_this();
    if (!m_connected && !finishConnect())
        return;
    if (ready.writable && !m_out.empty())
        writeOut();
    // A copy, since the hook may end the request.
    if (auto notify = m_isBodyOpen && hasRoom() ? m_handlers.roomForBody : std::function<void()>())
        notify();
    if (ready.readable && !m_closed)
        readIn();
    updateAccount();
}

bool ClientConnection::finishConnect()
{
    if (m_socket.impl()->socketError() != 0) {
        fail(FailureKind::Refused);
        return false;
    }
    m_connected = true;
    m_loop.cancel(m_connectTimer);
    updateInterest();
    if (auto hook = std::exchange(m_connectedHook, {}))
        hook();
    return !m_closed;
}

void ClientConnection::updateInterest()
{
    m_loop.setInterest(m_socket, !m_paused, !m_out.empty());
}

void ClientConnection::setReading(bool reading)
{
    if (m_closed || m_paused == !reading)
        return;
    m_paused = !reading;
    updateInterest();
}

void ClientConnection::writeOut()
{
    try {
        while (!m_out.empty()) {
            auto n = sendAvailable(m_socket, m_out.unsent());
            if (n == 0)
                break;
            m_bytesSent = true;
            m_out.consume(n);
        }
    } catch (const Poco::Exception&) {
        // Deferred because send() must not call its handlers before it returns to the caller.
        m_out.clear();
        m_hasWriteFailed = true;
        std::weak_ptr<ClientConnection> weak = weak_from_this();
        m_loop.defer([weak] {
            if (auto self = weak.lock())
                self->onWriteFailed();
        });
    }
    updateInterest();
}

// The peer may have responded before it closed the connection. What has come of the response is read first.
void ClientConnection::onWriteFailed()
{
    auto keep = shared_from_this();
    auto before = m_receivedBytes;
    if (!m_closed)
        readIn();
    if (!m_closed && m_busy && m_receivedBytes == before)
        fail(FailureKind::Reset);
}

void ClientConnection::readIn()
{
    std::array<char, readBufferBytes> buf;
    for (int i = 0; i < maxReadsPerEvent; ++i) {
        auto n = 0;
        try {
            n = m_socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
        } catch (const Poco::Exception&) {
            return fail(FailureKind::Reset);
        }
        if (n < 0)
            return;
        m_in.append(buf.data(), static_cast<std::size_t>(n));
        m_receivedBytes += static_cast<std::size_t>(n);
        // The peer closed the idle connection, or sent bytes although no request is pending.
        if (!m_busy)
            return fail(FailureKind::Closed);
        auto responses = m_responses;
        consume();
        // A handler may have sent the next request: what is there to read now is not its response.
        if (m_closed || m_responses != responses)
            return;
        if (n == 0)
            return onStreamEnd();
        if (m_paused || n < static_cast<int>(buf.size()))
            return;
    }
}

void ClientConnection::onStreamEnd()
{
    if (isBodyEndedByClose())
        return finish();
    fail(m_hasWriteFailed ? FailureKind::Reset : FailureKind::Closed);
}

// Whether the end of the stream is the end of a body without a length. A reset ends the stream as well: once a write has taken its error
// from the socket, reading reports an orderly end. A server that closes before it has read the whole request may have ended in
// the middle of the response, unless it has announced that it closes.
bool ClientConnection::isBodyEndedByClose()
{
    if (!m_body || m_body->end() != BodyDecoder::State::Complete)
        return false;
    auto isRequestWritten = m_out.empty() && !m_isBodyOpen;
    return !m_hasWriteFailed && m_socket.impl()->socketError() == 0 && (isRequestWritten || m_head->announcesClose);
}

void ClientConnection::consume()
{
    while (m_busy && !m_closed) {
        if (!m_head && !consumeHead())
            return;
        auto state = m_body->feed(m_in);
        if (state != BodyDecoder::State::NeedsMore && state != BodyDecoder::State::Complete)
            return state == BodyDecoder::State::TooLarge ? fail(FailureKind::TooLarge) : fail(FailureKind::Malformed, std::string(malformedBody));
        if (m_discarding) {
            m_discardedBytes += m_body->takeBody().size();
            if (m_discardedBytes > maxBodyBytes())
                return fail(FailureKind::TooLarge);
        } else if (m_started || (state == BodyDecoder::State::NeedsMore && m_body->heldBytes() > m_options.maxHeldBytes))
            passOnBody();
        if (m_closed || state == BodyDecoder::State::NeedsMore)
            return;
        finish();
    }
}

void ClientConnection::passOnBody()
{
    if (!m_handlers.started || m_body->heldBytes() == 0)
        return;
    // Copies, since a handler may close the connection, which drops the handlers.
    if (m_started) {
        auto continued = m_handlers.continued;
        return continued(m_body->takeBody());
    }
    m_started = true;
    auto started = m_handlers.started;
    auto head = *m_head;
    head.response.body = m_body->takeBody();
    started(std::move(head));
}

bool ClientConnection::consumeHead()
{
    constexpr int firstFinalStatus = 200;
    constexpr int switchingProtocols = 101;
    auto reject = [this](std::string detail) {
        fail(FailureKind::Malformed, std::move(detail));
        return false;
    };
    Parsed<ResponseHead> parsed;
    do { // interim responses (1xx) are skipped
        if (m_interimResponses > maxInterimResponses)
            return reject("expected a final response, got too many interim ones");
        auto size = headSize(m_in);
        if (!size)
            return m_in.size() > maxHeadBytes && reject("expected a head of at most 64 KB, got a longer one");
        parsed = parseResponseHead(std::string_view(m_in).substr(0, *size), m_expectsBody);
        if (!parsed.head)
            return reject(std::move(parsed.detail));
        // No request asks for another protocol, and what follows would be one.
        if (parsed.head->response.status == switchingProtocols)
            return reject("expected HTTP/1.1, got a switch to another protocol");
        m_in.erase(0, *size);
        ++m_interimResponses;
    } while (parsed.head->response.status < firstFinalStatus);
    m_head = std::move(parsed.head);
    m_interimResponses = 0;
    m_body.emplace(m_head->framing, m_head->length, m_handlers.started ? std::numeric_limits<std::size_t>::max() : maxBodyBytes());
    m_discardedBytes = 0;
    m_discarding = m_handlers.matchesRequest && !m_handlers.matchesRequest(*m_head);
    return true;
}

void ClientConnection::finish()
{
    auto keep = shared_from_this();
    auto head = std::move(*m_head);
    auto endsConnection = !head.keepAlive || head.framing == Framing::UntilClose;
    auto isPassedOn = m_started;
    m_started = false;
    head.response.body = m_body->takeBody();
    m_head.reset();
    m_body.reset();
    if (m_discarding) {
        m_discarding = false;
        m_hasStaleResponse = true;
        if (endsConnection)
            fail(FailureKind::Closed);
        return;
    }
    m_busy = false;
    ++m_responses;
    m_lastUsed = m_loop.now();
    m_idleTimeoutS = head.idleTimeoutS ? head.idleTimeoutS : m_idleTimeoutS;
    m_loop.cancel(m_requestTimer);
    auto handlers = std::exchange(m_handlers, {});
    // Bytes after the response belong to no request. If the response came before the whole request was written, the rest of the request
    // stays unsent. The connection can't be reused in either case.
    if (endsConnection || m_hasStaleResponse || !m_in.empty() || !m_out.empty() || m_isBodyOpen || m_hasWriteFailed)
        close();
    m_isBodyOpen = false;
    // The next request's response must be read, even if this one's caller took it slowly.
    setReading(true);
    updateAccount();
    if (isPassedOn)
        handlers.completed();
    else if (handlers.answered)
        handlers.answered(std::move(head));
}

void ClientConnection::fail(FailureKind kind, std::string detail)
{
    if (m_closed)
        return;
    auto keep = shared_from_this();
    auto handlers = std::exchange(m_handlers, {});
    auto idleCloseHook = m_busy ? std::function<void()>() : std::exchange(m_idleCloseHook, {});
    close();
    if (handlers.failed)
        handlers.failed({ .kind = kind, .bytesSent = m_bytesSent, .detail = std::move(detail) });
    if (idleCloseHook)
        idleCloseHook();
}

}
