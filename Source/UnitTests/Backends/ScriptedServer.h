#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace UnitTests {

// Steps of one connection's script.
struct ReadRequest { }; // up to the blank line; bodies are left unread
struct SendBytes {
    std::string bytes;
};
struct Trickle {
    std::string bytes; // one at a time, over and over, until the client leaves
};
struct Flood {
    std::string bytes; // over and over without a pause, until the client leaves
};
struct Delay {
    std::chrono::milliseconds length;
};
struct CloseConnection { };
struct ResetConnection { };
struct ShutdownSend { }; // ends the stream in good order; the connection stays open for reading
struct WaitForClient { }; // says nothing until the client leaves
struct DiscardInput { }; // the same, for clients that send megabytes
struct HoldConnection { }; // neither reads nor sends until the test ends

using Step = std::variant<ReadRequest, SendBytes, Trickle, Flood, Delay, CloseConnection, ResetConnection, ShutdownSend, WaitForClient, DiscardInput, HoldConnection>;
using Script = std::vector<Step>;

// A TCP server on loopback that follows a script for each connection, the last one for all later connections, and counts
// what reached it. The kernel chooses the port.
class ScriptedServer {
public:
    explicit ScriptedServer(std::vector<Script> scripts)
        : m_scripts(std::move(scripts))
        , m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_acceptor([this] { acceptLoop(); })
    {
    }

    ~ScriptedServer()
    {
        m_stopping = true;
        m_acceptor.join();
        for (auto& thread : m_threads)
            thread.join();
    }

    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    std::string address() const { return m_listener.address().toString(); }
    int connections() const { return m_connections; }
    int requests() const { return m_requests; }
    // Connections closed by a script; what the client has received by then includes the close.
    int closes() const { return m_closes; }
    // Bytes of Flood steps that were handed to the kernel.
    std::size_t flooded() const { return m_flooded; }
    // Scripts that ended since the client left, or by themselves.
    int ended() const { return m_ended; }
    // Whether the head of any request contained the text.
    bool hasReceived(const std::string& text) const
    {
        std::lock_guard lock(m_mutex);
        return std::any_of(m_heads.begin(), m_heads.end(), [&](const auto& head) { return head.find(text) != std::string::npos; });
    }
    // Bytes of the latest whole request head.
    std::string head() const
    {
        std::lock_guard lock(m_mutex);
        return m_head;
    }

private:
    void acceptLoop()
    {
        while (!m_stopping) {
            if (!m_listener.poll(Poco::Timespan(pollMicroseconds), Poco::Net::Socket::SELECT_READ))
                continue;
            auto index = static_cast<std::size_t>(m_connections++);
            const auto& script = m_scripts[std::min(index, m_scripts.size() - 1)];
            m_threads.emplace_back([this, &script, socket = m_listener.acceptConnection()]() mutable { follow(script, socket); });
        }
    }

    void follow(const Script& script, Poco::Net::StreamSocket& socket)
    {
        try {
            for (const auto& step : script)
                std::visit([&](const auto& it) { run(it, socket); }, step);
        } catch (const Poco::Exception&) {
            // The client left in the middle of the script.
        }
        ++m_ended;
    }

    // The next byte; throws when the client has left or the test ends.
    char readByte(Poco::Net::StreamSocket& socket) const
    {
        while (!socket.poll(Poco::Timespan(pollMicroseconds), Poco::Net::Socket::SELECT_READ)) {
            if (m_stopping)
                throw Poco::Net::ConnectionAbortedException();
        }
        char c = 0;
        if (socket.receiveBytes(&c, 1) <= 0)
            throw Poco::Net::ConnectionAbortedException();
        return c;
    }

    void run(const ReadRequest&, Poco::Net::StreamSocket& socket)
    {
        std::string bytes;
        while (!bytes.ends_with("\r\n\r\n"))
            bytes += readByte(socket);
        ++m_requests;
        std::lock_guard lock(m_mutex);
        m_head = bytes;
        m_heads.push_back(bytes);
    }

    static void run(const SendBytes& step, Poco::Net::StreamSocket& socket)
    {
        for (std::size_t done = 0; done < step.bytes.size();)
            done += static_cast<std::size_t>(socket.sendBytes(step.bytes.data() + done, static_cast<int>(step.bytes.size() - done)));
    }

    void run(const Trickle& step, Poco::Net::StreamSocket& socket) const
    {
        for (std::size_t i = 0; !m_stopping; i = (i + 1) % step.bytes.size()) {
            socket.sendBytes(step.bytes.data() + i, 1);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    void run(const Flood& step, Poco::Net::StreamSocket& socket)
    {
        while (!m_stopping) {
            if (!socket.poll(Poco::Timespan(pollMicroseconds), Poco::Net::Socket::SELECT_WRITE))
                continue;
            m_flooded += static_cast<std::size_t>(socket.sendBytes(step.bytes.data(), static_cast<int>(step.bytes.size())));
        }
    }

    static void run(const Delay& step, Poco::Net::StreamSocket&) { std::this_thread::sleep_for(step.length); }

    void run(const CloseConnection&, Poco::Net::StreamSocket& socket)
    {
        socket.close();
        ++m_closes;
    }

    static void run(const ResetConnection&, Poco::Net::StreamSocket& socket)
    {
        socket.setLinger(true, 0);
        socket.close();
    }

    static void run(const ShutdownSend&, Poco::Net::StreamSocket& socket) { socket.shutdownSend(); }

    void run(const WaitForClient&, Poco::Net::StreamSocket& socket) const
    {
        while (true)
            readByte(socket);
    }

    void run(const DiscardInput&, Poco::Net::StreamSocket& socket) const
    {
        std::vector<char> buf(64 * 1024);
        while (!m_stopping) {
            if (socket.poll(Poco::Timespan(pollMicroseconds), Poco::Net::Socket::SELECT_READ) && socket.receiveBytes(buf.data(), static_cast<int>(buf.size())) <= 0)
                return;
        }
    }

    void run(const HoldConnection&, Poco::Net::StreamSocket&) const
    {
        while (!m_stopping)
            std::this_thread::sleep_for(std::chrono::microseconds(pollMicroseconds));
    }

    static constexpr int pollMicroseconds = 2000;

    std::vector<Script> m_scripts;
    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_stopping { false };
    std::atomic<int> m_connections { 0 };
    std::atomic<int> m_requests { 0 };
    std::atomic<int> m_closes { 0 };
    std::atomic<std::size_t> m_flooded { 0 };
    std::atomic<int> m_ended { 0 };
    mutable std::mutex m_mutex;
    std::string m_head;
    std::vector<std::string> m_heads;
    std::vector<std::thread> m_threads; // of the acceptor until it ends
    std::thread m_acceptor; // last: it uses all the others
};

}
