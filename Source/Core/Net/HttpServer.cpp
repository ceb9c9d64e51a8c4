#include "Net/HttpServer.h"

#include <algorithm>
#include <array>
#include <utility>

#include <Poco/Net/NetException.h>

#include "Net/HttpClient.h"
#include "Net/OutputBuffer.h"
#include "Net/SocketIo.h"

namespace Net {

namespace {

    constexpr int backlog = 256;
    constexpr std::size_t readBufferBytes = 16 * 1024;
    // Maximum number of pending requests of one connection; parsing pauses when it is reached.
    constexpr std::size_t maxPipelined = 64;
    // After the last response, incoming bytes are read and discarded until none has come for this long. Closing with unread bytes, or
    // before bytes that are under way, would send a reset, at which the client may give up responses that it has not read yet.
    constexpr auto lingerTimeout = std::chrono::seconds(1);
    // Response bytes of one connection that may wait to be sent before the source of a body has to pause.
    constexpr std::size_t maxUnsentBytes = 32 * 1024;
    // It goes on when this many are left.
    constexpr std::size_t resumeUnsentBytes = maxUnsentBytes / 2;
    // Bytes of a body that were received and not taken, beyond which nothing is read.
    constexpr std::size_t maxUntakenBytes = 32 * 1024;
    // Of the socket of a connection that carries a body that is passed on: the kernel may hold megabytes of it otherwise.
    constexpr int largeBodyReceiveBufferBytes = 128 * 1024;
    // What a connection and a pending request take beside their bytes, as counted to the memory budget.
    constexpr std::size_t connectionOverheadBytes = 2 * 1024;
    constexpr std::size_t exchangeOverheadBytes = 12 * 1024;
    // An input buffer that has grown beyond this is freed when it is empty.
    constexpr std::size_t maxKeptInputBytes = 4 * 1024;
    // Maximum number of connections accepted in one loop iteration, so that a burst of connections does not delay requests.
    constexpr int maxAcceptsPerIteration = 16;

    // Pause after a connection could not be accepted.
    constexpr auto acceptPause = std::chrono::milliseconds(50);

    using enum Net::HttpStatus;

}

// One client connection. The server owns it until it is closed.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(HttpServer& server, const Poco::Net::StreamSocket& socket)
        : m_server(server)
        , m_loop(server.m_loop)
        , m_socket(socket)
        , m_account(server.m_options.budget)
    {
    }

    void start()
    {
        m_socket.setBlocking(false);
        configureSocket(m_socket, m_server.m_options.deadPeerTimeout, m_server.m_options.sendBufferBytes);
        std::weak_ptr<ServerConnection> weak = weak_from_this();
        m_loop.watch(m_socket, true, false, [weak](Readiness ready) {
            if (auto self = weak.lock())
                self->onReady(ready);
        });
        setTimer(m_server.m_options.limits().idleTimeout);
        updateAccount();
    }

    std::size_t pending() const { return m_pending.size(); }

    // Sends the responses that are ready, in request order, up to the first one that is still pending.
    void flush()
    {
        auto keep = shared_from_this();
        while (!m_closed && !m_pending.empty() && m_pending.front()->m_response) {
            auto exchange = m_pending.front();
            queueBytes(*exchange);
            if (!exchange->m_complete)
                break;
            m_pending.pop_front();
            if (exchange == m_receiving)
                stopReceiving();
        }
        write();
        if (m_closed)
            return;
        if (!m_noMoreRequests && m_paused) {
            m_paused = false;
            updateInterest();
            parse();
        }
        if (m_closed)
            return;
        updateTimer();
        updateAccount();
    }

    // Called when the served side has taken what was received of a body.
    void onBodyTaken()
    {
        if (m_closed)
            return;
        updateInterest();
        updateAccount();
    }

    // Serves no request beyond the pending ones, or the one that is being received.
    void closeAfterPending()
    {
        auto isReceivingFirst = m_pending.empty() && (!m_in.empty() || m_head);
        if (m_noMoreRequests || isReceivingFirst)
            return;
        m_noMoreRequests = true;
        if (!m_receiving)
            discardInput();
        updateTimer();
    }

    // Bytes of the exchange's response that wait to be sent, those of earlier responses included.
    std::size_t unsentBytes(const Exchange& exchange) const
    {
        auto isFirst = !m_pending.empty() && m_pending.front().get() == &exchange;
        return exchange.m_response->body.size() + (isFirst ? m_out.size() : 0);
    }

    // Ends the connection in the middle of a response. A reset, since the end of the connection could be taken for the end of a body
    // that has no length.
    void reset()
    {
        try {
            m_socket.setLinger(true, 0);
        } catch (const Poco::Exception&) {
            // The client closed the connection first.
        }
        close();
    }

    void close()
    {
        if (m_closed)
            return;
        auto keep = shared_from_this();
        m_closed = true;
        m_receiving.reset();
        m_account.set(0);
        m_loop.cancel(m_timer);
        m_loop.unwatch(m_socket);
        try {
            m_socket.close();
        } catch (const Poco::Exception&) {
            // The peer may have closed the connection first.
        }
        m_server.m_connections.erase(keep);
        std::deque<std::shared_ptr<Exchange>> pending;
        pending.swap(m_pending);
        for (auto& exchange : pending) {
            exchange->m_clientClosed = true;
            auto hook = std::move(exchange->m_clientClosedHook);
            exchange->m_clientClosedHook = {};
            if (hook)
                hook();
        }
    }

private:
    // Passes the head, unless that was done, and the body as far as it is known to the output.
    void queueBytes(Exchange& exchange)
    {
        auto& response = *exchange.m_response;
        if (!exchange.m_headQueued) {
            exchange.m_headQueued = true;
            auto isWhole = exchange.m_complete && !exchange.m_bodyLength;
            exchange.m_framing = isWhole || exchange.m_bodyLength ? Framing::Length
                : exchange.m_request.acceptsChunks                ? Framing::Chunked
                                                                  : Framing::UntilClose;
            auto isLast = m_pending.size() == 1;
            // The rest of a body that is not read can't be told from the next request.
            auto isBodyCut = !exchange.m_isBodyReceived;
            m_noMoreRequests = m_noMoreRequests || isBodyCut || exchange.m_framing == Framing::UntilClose || (m_server.m_draining && isLast);
            auto keepAlive = !(m_noMoreRequests && isLast) && exchange.m_framing != Framing::UntilClose;
            m_out.append(headBytes(response, keepAlive, exchange.m_framing, isWhole ? response.body.size() : exchange.m_bodyLength.value_or(0)));
        }
        auto part = std::exchange(response.body, {});
        if (exchange.m_headOnly || !mayHaveBody(response.status))
            return;
        if (exchange.m_framing == Framing::Chunked && !part.empty())
            part = chunkBytes(part);
        m_out.append(part);
        if (exchange.m_framing == Framing::Chunked && exchange.m_complete)
            m_out.append(lastChunk);
    }

    bool isReading() const
    {
        return !m_paused && !m_isWaitingForMemory && !(m_receiving && m_receiving->m_bodyRest.size() > maxUntakenBytes);
    }

    void updateInterest() { m_loop.setInterest(m_socket, isReading(), !m_out.empty()); }

    void updateAccount()
    {
        auto n = connectionOverheadBytes + m_in.size() + (m_body ? m_body->heldBytes() : 0) + m_out.size();
        for (const auto& exchange : m_pending)
            n += exchange->heldBytes();
        m_account.set(n);
    }

    // A request that waits for one before it on its connection only takes memory.
    std::size_t maxPending() const
    {
        const auto* budget = m_server.m_options.budget;
        return budget && !budget->takesLargeBodies() ? 1 : maxPipelined;
    }

    void waitForMemory()
    {
        if (m_isWaitingForMemory || m_account.mayRead())
            return;
        m_isWaitingForMemory = true;
        updateInterest();
        std::weak_ptr<ServerConnection> weak = weak_from_this();
        m_server.m_options.budget->onRoom([weak, &loop = m_loop] {
            loop.defer([weak] {
                auto self = weak.lock();
                if (!self || self->m_closed)
                    return;
                self->m_isWaitingForMemory = false;
                self->updateInterest();
            });
        });
    }

    // Tells the source of the response that is being sent that it may go on.
    void notifyRoom()
    {
        if (m_pending.empty())
            return;
        auto exchange = m_pending.front();
        if (!exchange->m_headQueued || exchange->m_complete || m_out.size() > resumeUnsentBytes)
            return;
        auto hook = std::exchange(exchange->m_roomHook, {});
        if (hook)
            hook();
    }

    void onReady(Readiness ready)
    {
        auto keep = shared_from_this();
        if (ready.writable && !m_out.empty())
            flush();
        if (ready.readable && !m_closed)
            read();
    }

    void read()
    {
        std::array<char, readBufferBytes> buf;
        try {
            auto n = m_socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
            if (n < 0)
                return;
            if (n == 0)
                return close();
            if (m_lingering)
                return setLingerTimer();
            if (m_noMoreRequests && !m_receiving)
                return;
            m_in.append(buf.data(), static_cast<std::size_t>(n));
        } catch (const Poco::Exception&) {
            return close();
        }
        parse();
        if (m_closed)
            return;
        if (m_in.empty() && m_in.capacity() > maxKeptInputBytes)
            std::string().swap(m_in);
        updateTimer();
        updateAccount();
        waitForMemory();
    }

    void parse()
    {
        while (!m_closed && !m_in.empty()) {
            if (m_receiving) {
                if (!receiveBody())
                    break;
                continue;
            }
            if (m_noMoreRequests)
                break;
            // A caller that does not read its responses gets no further ones.
            if (m_pending.size() >= maxPending() || m_out.size() > maxUnsentBytes) {
                m_paused = true;
                updateInterest();
                break;
            }
            if (!m_head && !parseHead())
                break;
            auto state = m_body->feed(m_in);
            auto heldBodyBytes = m_server.m_options.heldBodyBytes;
            if (state == BodyDecoder::State::NeedsMore && heldBodyBytes > 0 && m_body->heldBytes() >= heldBodyBytes) {
                begin();
                continue;
            }
            if (state == BodyDecoder::State::NeedsMore)
                break;
            if (state == BodyDecoder::State::Malformed)
                m_server.m_options.malformed(std::string(malformedBody));
            if (state != BodyDecoder::State::Complete) {
                refuse(state == BodyDecoder::State::TooLarge ? ContentTooLarge : BadRequest);
                break;
            }
            begin();
        }
    }

    bool parseHead()
    {
        auto limits = m_server.m_options.limits();
        auto size = headSize(m_in);
        if (!size || *size > limits.headBytes) {
            if (m_in.size() > limits.headBytes)
                refuse(HeaderTooLarge);
            return false;
        }
        auto parsed = parseRequestHead(std::string_view(m_in).substr(0, *size));
        if (!parsed.head) {
            if (parsed.fault == ParseFault::Malformed)
                m_server.m_options.malformed(parsed.detail);
            refuse(parsed.fault == ParseFault::HeadTooLarge ? HeaderTooLarge : BadRequest);
            return false;
        }
        m_in.erase(0, *size);
        m_headBytes = *size;
        m_head = std::move(parsed.head);
        m_body.emplace(m_head->framing, m_head->length, limits.bodyBytes);
        if (m_body->state() == BodyDecoder::State::TooLarge) {
            refuse(ContentTooLarge);
            return false;
        }
        if (m_head->expectsContinue && m_body->state() == BodyDecoder::State::NeedsMore && m_pending.empty()) {
            m_out.append("HTTP/1.1 100 Continue\r\n\r\n");
            write();
        }
        return !m_closed;
    }

    void begin()
    {
        auto request = std::move(m_head->request);
        request.body = m_body->takeBody();
        auto exchange = std::make_shared<Exchange>(weak_from_this(), std::move(request), m_loop.now());
        exchange->m_headBytes = m_headBytes;
        exchange->m_bodyFraming = m_head->framing;
        exchange->m_requestBodyLength = m_head->length;
        exchange->m_isBodyWhole = exchange->m_isBodyReceived = m_body->state() == BodyDecoder::State::Complete;
        exchange->m_headOnly = exchange->m_request.method == "HEAD";
        m_head.reset();
        m_readTimerArmed = false;
        m_pending.push_back(exchange);
        // While a request is pending, its own deadline counts.
        m_loop.cancel(m_timer);
        if (exchange->m_isBodyWhole) {
            m_body.reset();
            m_noMoreRequests = !exchange->m_request.keepAlive;
        } else {
            m_receiving = exchange;
            m_receivedBytes = exchange->m_request.body.size();
            limitReceiveBuffer();
        }
        m_server.m_options.serve(exchange);
    }

    void limitReceiveBuffer()
    {
        try {
            m_socket.setReceiveBufferSize(largeBodyReceiveBufferBytes);
        } catch (const Poco::Exception&) {
            // The client closed the connection first; the next read shows it.
        }
    }

    // Takes what has come of a body that is passed on. Returns whether the next request may follow.
    bool receiveBody()
    {
        auto exchange = m_receiving;
        auto state = m_body->feed(m_in);
        auto part = m_body->takeBody();
        m_receivedBytes += part.size();
        if (state == BodyDecoder::State::Malformed || state == BodyDecoder::State::TooLarge || m_receivedBytes > m_server.m_options.limits().bodyBytes) {
            failBody(state == BodyDecoder::State::Malformed ? BadRequest : ContentTooLarge);
            return false;
        }
        exchange->m_bodyRest += part;
        exchange->m_isBodyReceived = state == BodyDecoder::State::Complete;
        if (exchange->m_isBodyReceived)
            endBody(*exchange);
        updateInterest();
        // A copy, since the hook may be replaced while it runs.
        if (auto hook = exchange->m_bodyHook)
            hook();
        return exchange->m_isBodyReceived;
    }

    void endBody(const Exchange& exchange)
    {
        m_receiving.reset();
        m_body.reset();
        // A planned stop may have begun while the body was received.
        m_noMoreRequests = m_noMoreRequests || !exchange.m_request.keepAlive;
        if (m_noMoreRequests)
            discardInput();
    }

    // The body can't be completed: tells the served side, which responds with the status.
    void failBody(int status)
    {
        auto exchange = m_receiving;
        stopReceiving();
        exchange->m_bodyFault = status;
        if (status == BadRequest)
            m_server.m_options.malformed(std::string(malformedBody));
        if (auto hook = exchange->m_bodyHook)
            hook();
        else
            exchange->respond(m_server.m_options.refuse(status));
    }

    // The rest of the body is not needed any more.
    void stopReceiving()
    {
        m_receiving.reset();
        m_noMoreRequests = true;
        discardInput();
    }

    // Responds to a request that is invalid, too large or not complete in time. The message boundary is lost, so the rest of the
    // input is discarded.
    void refuse(int status)
    {
        discardInput();
        m_noMoreRequests = true;
        auto exchange = std::make_shared<Exchange>(weak_from_this(), Request(), m_loop.now());
        m_pending.push_back(exchange);
        exchange->respond(m_server.m_options.refuse(status));
    }

    void write()
    {
        try {
            while (!m_out.empty()) {
                auto n = sendAvailable(m_socket, m_out.unsent());
                if (n == 0)
                    break;
                m_out.consume(n);
            }
        } catch (const Poco::Exception&) {
            return close();
        }
        updateInterest();
        notifyRoom();
    }

    // What was received behind the last request is not served. The rest is read, so that the connection can end without a reset.
    void discardInput()
    {
        m_in.clear();
        m_head.reset();
        m_body.reset();
        m_paused = false;
        updateInterest();
    }

    void setLingerTimer()
    {
        setTimer(std::min<Common::Duration>(lingerTimeout, m_lingerUntil - m_loop.now()));
    }

    // Starts the read, idle or linger timer according to the connection's state. Shuts down sending after the last response.
    void updateTimer()
    {
        // A body that is passed on may take as long as its request's deadline allows, but must not stall.
        if (m_receiving)
            return setTimer(m_server.m_options.limits().readTimeout);
        if (m_lingering || !m_pending.empty())
            return;
        // A client that takes no byte of the last response for the idle timeout is gone.
        if (!m_out.empty())
            return setTimer(m_server.m_options.limits().idleTimeout);
        if (m_noMoreRequests) {
            m_lingering = true;
            m_lingerUntil = m_loop.now() + m_server.m_options.limits().idleTimeout;
            discardInput();
            try {
                m_socket.shutdownSend();
            } catch (const Poco::Exception&) {
                return close();
            }
            return setLingerTimer();
        }
        auto limits = m_server.m_options.limits();
        auto isReading = !m_in.empty() || m_head;
        if (isReading && m_readTimerArmed && m_timer != 0)
            return; // the read timeout runs from the first byte of the request
        m_readTimerArmed = isReading;
        setTimer(isReading ? limits.readTimeout : limits.idleTimeout);
    }

    void setTimer(Common::Duration delay)
    {
        m_loop.cancel(m_timer);
        std::weak_ptr<ServerConnection> weak = weak_from_this();
        m_timer = m_loop.after(delay, [weak] {
            if (auto self = weak.lock())
                self->onTimer();
        });
    }

    void onTimer()
    {
        m_timer = 0;
        auto keep = shared_from_this();
        if (m_receiving)
            return isReading() ? failBody(RequestTimeout) : updateTimer();
        if (!m_pending.empty())
            return;
        if (!m_lingering && m_out.empty() && (!m_in.empty() || m_head)) {
            refuse(RequestTimeout);
            return;
        }
        close();
    }

    HttpServer& m_server;
    EventLoop& m_loop;
    Poco::Net::StreamSocket m_socket;
    std::string m_in;
    OutputBuffer m_out;
    MemoryAccount m_account;
    std::size_t m_headBytes = 0; // of the request that is being received
    std::shared_ptr<Exchange> m_receiving; // its body is passed on while it arrives
    std::size_t m_receivedBytes = 0; // of that body
    std::optional<RequestHead> m_head;
    std::optional<BodyDecoder> m_body;
    std::deque<std::shared_ptr<Exchange>> m_pending;
    EventLoop::TimerId m_timer = 0;
    bool m_readTimerArmed = false;
    bool m_noMoreRequests = false;
    bool m_paused = false; // for the time being no further request is taken
    bool m_isWaitingForMemory = false;
    bool m_lingering = false;
    Common::TimePoint m_lingerUntil; // the client may have kept sending until then
    bool m_closed = false;
};

Exchange::Exchange(std::weak_ptr<ServerConnection> connection, Request request, Common::TimePoint received)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_received(received)
{
}

std::string Exchange::takeBody()
{
    auto bytes = std::exchange(m_bodyRest, {});
    if (auto connection = bytes.empty() ? nullptr : m_connection.lock())
        connection->onBodyTaken();
    return bytes;
}

std::size_t Exchange::heldBytes() const
{
    return exchangeOverheadBytes + m_headBytes + m_request.body.size() + m_bodyRest.size() + (m_response ? m_response->body.size() : 0);
}

void Exchange::respond(Response response)
{
    if (m_response || m_clientClosed)
        return;
    m_response = std::move(response);
    m_complete = true;
    m_clientClosedHook = {};
    if (auto connection = m_connection.lock())
        connection->flush();
}

void Exchange::begin(Response response, std::optional<std::size_t> length)
{
    if (m_response || m_clientClosed)
        return;
    m_response = std::move(response);
    m_bodyLength = length;
    if (auto connection = m_connection.lock())
        connection->flush();
}

void Exchange::append(std::string_view part)
{
    if (!m_response || m_complete || m_clientClosed)
        return;
    m_response->body += part;
    if (auto connection = m_connection.lock())
        connection->flush();
}

void Exchange::end()
{
    if (!m_response || m_complete || m_clientClosed)
        return;
    m_complete = true;
    m_clientClosedHook = {};
    m_roomHook = {};
    if (auto connection = m_connection.lock())
        connection->flush();
}

void Exchange::abort(Response instead)
{
    if (m_complete || m_clientClosed)
        return;
    auto connection = m_connection.lock();
    if (m_headQueued) {
        if (connection)
            connection->reset();
        return;
    }
    m_response.reset();
    m_bodyLength.reset();
    respond(std::move(instead));
}

bool Exchange::isBacklogged() const
{
    auto connection = m_connection.lock();
    return connection && m_response && !m_complete && connection->unsentBytes(*this) > maxUnsentBytes;
}

HttpServer::HttpServer(EventLoop& loop, ServerOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
{
}

HttpServer::~HttpServer()
{
    stopAccepting();
    auto connections = m_connections;
    for (const auto& connection : connections)
        connection->close();
}

Common::Result<void> HttpServer::open()
{
    try {
        m_listener.bind(Poco::Net::SocketAddress(m_options.address), true);
        m_listener.listen(backlog);
        m_listener.setBlocking(false);
    } catch (const Poco::Exception& ec) {
        return Common::Error { .code = Common::ResultCode::Internal, .text = m_options.address + ": " + ec.displayText() };
    }
    m_accepting = true;
    m_loop.watch(m_listener, true, false, [this](Readiness) { accept(); });
    return boost::outcome_v2::success();
}

void HttpServer::accept()
{
    try {
        for (int i = 0; i < maxAcceptsPerIteration && m_listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ); ++i) {
            auto connection = std::make_shared<ServerConnection>(*this, m_listener.acceptConnection());
            m_connections.insert(connection);
            connection->start();
        }
    } catch (const Poco::Exception& ec) {
        // The client closed the connection before it was accepted, or file descriptors ran out. The listener stays readable in the
        // second case.
        m_options.acceptFailed(ec.displayText());
        m_loop.setInterest(m_listener, false, false);
        m_acceptTimer = m_loop.after(acceptPause, [this] {
            m_acceptTimer = 0;
            m_loop.setInterest(m_listener, true, false);
        });
    }
}

void HttpServer::stopAccepting()
{
    if (!m_accepting)
        return;
    m_accepting = false;
    m_loop.cancel(m_acceptTimer);
    m_loop.unwatch(m_listener);
    m_listener.close();
}

void HttpServer::closeConnections()
{
    auto connections = m_connections;
    for (const auto& connection : connections)
        connection->closeAfterPending();
}

std::size_t HttpServer::inFlight() const
{
    std::size_t n = 0;
    for (const auto& connection : m_connections)
        n += connection->pending();
    return n;
}

}
