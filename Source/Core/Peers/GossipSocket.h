#pragma once

#include <atomic>
#include <functional>
#include <thread>

#include <Poco/Net/DatagramSocket.h>

#include "Decisions/GossipMessage.h"
#include "Peers/MessageSeal.h"

namespace Peers {

// Largest datagram: passes every usual network unfragmented.
inline constexpr std::size_t maxDatagramBytes = 1200;

struct GossipTraffic {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0; // with IP and UDP headers
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t notSent = 0; // too large, or refused by the system
};

// Gossip over UDP: signs what goes out, drops and counts what is not signed, malformed or replayed. send() is thread-safe.
class GossipSocket {
public:
    using Received = std::function<void(const Decisions::GossipMessage&)>;

    // `refused` is told why a datagram was dropped.
    GossipSocket(const Poco::Net::DatagramSocket&, MessageSeal&, Received, std::function<void(const std::string& reason)> refused);
    ~GossipSocket();
    GossipSocket(const GossipSocket&) = delete;
    GossipSocket& operator=(const GossipSocket&) = delete;

    void start();
    void stop();
    void send(const Decisions::GossipSend&);
    GossipTraffic traffic() const;

private:
    void receiveLoop();
    void receiveOne(const std::string& bytes);

    Poco::Net::DatagramSocket m_socket;
    MessageSeal& m_seal;
    Received m_received;
    std::function<void(const std::string&)> m_refused;
    std::atomic<bool> m_stopping { false };
    std::atomic<std::uint64_t> m_messagesSent { 0 };
    std::atomic<std::uint64_t> m_bytesSent { 0 };
    std::atomic<std::uint64_t> m_messagesReceived { 0 };
    std::atomic<std::uint64_t> m_bytesReceived { 0 };
    std::atomic<std::uint64_t> m_notSent { 0 };
    std::thread m_thread;
};

}
