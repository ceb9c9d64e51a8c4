#include "Peers/GossipSocket.h"

#include <array>

#include <Poco/Net/NetException.h>

#include "Common/Address.h"
#include "Peers/GossipCodec.h"

namespace Peers {

namespace {

    constexpr std::size_t ipUdpHeaderBytes = 28;
    constexpr int pollMicroseconds = 50'000;
    constexpr std::size_t largestUdpBytes = 65536;

}

GossipSocket::GossipSocket(const Poco::Net::DatagramSocket& socket, MessageSeal& seal, Received received, std::function<void(const std::string&)> refused)
    : m_socket(socket)
    , m_seal(seal)
    , m_received(std::move(received))
    , m_refused(std::move(refused))
{
}

GossipSocket::~GossipSocket()
{
    stop();
}

void GossipSocket::start()
{
    m_thread = std::thread([this] { receiveLoop(); });
}

void GossipSocket::stop()
{
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void GossipSocket::send(const Decisions::GossipSend& send)
{
    auto bytes = m_seal.seal(Purpose::Gossip, send.to, encodeGossip(send.message));
    // A name would be looked up, and that can take long.
    if (bytes.size() > maxDatagramBytes || !Common::isAddress(send.to)) {
        ++m_notSent;
        return;
    }
    try {
        m_socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(send.to));
        ++m_messagesSent;
        m_bytesSent += bytes.size() + ipUdpHeaderBytes;
    } catch (const Poco::Exception&) {
        // As good as lost on the way: the next round tries again.
        ++m_notSent;
    }
}

void GossipSocket::receiveLoop()
{
    std::array<char, largestUdpBytes> buf;
    while (!m_stopping) {
        try {
            if (!m_socket.poll(Poco::Timespan(pollMicroseconds), Poco::Net::Socket::SELECT_READ))
                continue;
            Poco::Net::SocketAddress from;
            auto n = m_socket.receiveFrom(buf.data(), static_cast<int>(buf.size()), from);
            if (n >= 0)
                receiveOne({ buf.data(), static_cast<std::size_t>(n) });
        } catch (const Poco::Exception&) {
            // An ICMP answer to an earlier send shows up here; it says nothing that pings will not show.
            continue;
        }
    }
}

void GossipSocket::receiveOne(const std::string& bytes)
{
    auto opened = m_seal.open(Purpose::Gossip, bytes);
    if (!opened)
        return m_refused(opened.error().text);
    auto message = decodeGossip(opened.value().payload);
    if (!message || message.value().sender.peerAddress != opened.value().sender)
        return m_refused(m_seal.refuse(Refusal::Malformed).text);
    ++m_messagesReceived;
    m_bytesReceived += bytes.size() + ipUdpHeaderBytes;
    m_received(message.value());
}

GossipTraffic GossipSocket::traffic() const
{
    return { .messagesSent = m_messagesSent, .bytesSent = m_bytesSent, .messagesReceived = m_messagesReceived, .bytesReceived = m_bytesReceived, .notSent = m_notSent };
}

}
