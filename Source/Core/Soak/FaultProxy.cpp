#include "Soak/FaultProxy.h"

#include <array>

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include "Net/SocketIo.h"

namespace Soak {

struct FaultProxy::Pair {
    Poco::Net::StreamSocket client;
    Poco::Net::StreamSocket server;
    std::string clientHost;
    bool ended = false;
};

FaultProxy::FaultProxy(Net::EventLoop& loop, std::string target)
    : m_loop(loop)
    , m_timers(loop)
    , m_target(std::move(target))
    , m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
{
    m_listener.setBlocking(false);
    m_loop.watch(m_listener, true, false, [this](Net::Readiness) { accept(); });
}

FaultProxy::~FaultProxy()
{
    m_loop.unwatch(m_listener);
    resetAll();
}

void FaultProxy::accept()
{
    auto pair = std::make_shared<Pair>();
    try {
        pair->client = m_listener.acceptConnection();
        pair->clientHost = pair->client.peerAddress().host().toString();
        if (modeFor(*pair) == ProxyMode::Refuse)
            return end(pair, true);
        // Loopback answers at once, so that connecting does not hold up the loop.
        pair->server.connect(Poco::Net::SocketAddress(m_target));
    } catch (const Poco::Exception&) {
        return end(pair, true);
    }
    m_pairs.insert(pair);
    for (auto* socket : { &pair->client, &pair->server }) {
        socket->setBlocking(false);
        socket->setNoDelay(true);
        m_loop.watch(*socket, true, false, [this, pair, fromClient = socket == &pair->client](Net::Readiness) { forward(pair, fromClient); });
    }
}

ProxyMode FaultProxy::modeFor(const Pair& pair) const
{
    auto it = m_modes.find(pair.clientHost);
    return it == m_modes.end() ? m_mode : it->second;
}

void FaultProxy::forward(const std::shared_ptr<Pair>& pair, bool fromClient)
{
    constexpr std::size_t pieceBytes = 16 * 1024;
    std::array<char, pieceBytes> buf;
    int n = 0;
    try {
        n = (fromClient ? pair->client : pair->server).receiveBytes(buf.data(), static_cast<int>(buf.size()));
    } catch (const Poco::Exception&) {
        return end(pair, true);
    }
    if (n < 0)
        return;
    if (n == 0)
        return end(pair, false);
    auto mode = modeFor(*pair);
    if (mode == ProxyMode::Silence || (mode == ProxyMode::OneWay && !fromClient))
        return;
    std::string bytes(buf.data(), static_cast<std::size_t>(n));
    if (m_oddAnswers && fromClient) {
        if (auto answer = m_oddAnswers->earlyAnswer(bytes))
            return answerEarly(pair, *answer);
    } else if (m_oddAnswers)
        bytes = m_oddAnswers->spoil(std::move(bytes));
    if (mode != ProxyMode::Delay)
        return deliver(pair, !fromClient, bytes);
    m_timers.after(m_delay, [this, pair, fromClient, bytes] { deliver(pair, !fromClient, bytes); });
}

void FaultProxy::deliver(const std::shared_ptr<Pair>& pair, bool toClient, const std::string& bytes)
{
    if (pair->ended)
        return;
    auto& socket = toClient ? pair->client : pair->server;
    try {
        for (std::size_t done = 0; done < bytes.size();) {
            auto n = Net::sendAvailable(socket, std::string_view(bytes).substr(done));
            if (n > 0)
                done += n;
            else if (!socket.poll(Poco::Timespan(0, 100'000), Poco::Net::Socket::SELECT_WRITE))
                return end(pair, true);
        }
    } catch (const Poco::Exception&) {
        end(pair, true);
    }
}

// At once, so that the reset meets the gateway while it writes the rest of the request: the kernel's buffers would soon hold all of it.
void FaultProxy::answerEarly(const std::shared_ptr<Pair>& pair, const std::string& answer)
{
    deliver(pair, true, answer);
    end(pair, true);
}

void FaultProxy::end(const std::shared_ptr<Pair>& pair, bool abruptly)
{
    if (pair->ended)
        return;
    pair->ended = true;
    for (auto* socket : { &pair->client, &pair->server }) {
        m_loop.unwatch(*socket);
        try {
            if (abruptly)
                socket->setLinger(true, 0);
            socket->close();
        } catch (const Poco::Exception&) {
            // It was never connected.
        }
    }
    m_pairs.erase(pair);
}

void FaultProxy::resetAll()
{
    auto pairs = m_pairs;
    for (const auto& pair : pairs)
        end(pair, true);
}

void FaultProxy::resetAllOf(const std::string& clientHost)
{
    auto pairs = m_pairs;
    for (const auto& pair : pairs) {
        if (pair->clientHost == clientHost)
            end(pair, true);
    }
}

}
