#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include "Gateway/Daemon.h"
#include "Net/HttpMessage.h"
#include "platform/Binding.h"
#include "platform/Names.h"
#include "platform/StandIn/LoopThread.h"
#include "platform/StandIn/Server.h"
#include "platform/StandIn/Store.h"

namespace UnitTests {

namespace Names = PlatformAdapter::Names;

// Polls until the condition holds; false after 10 s.
template <typename Condition>
bool eventually(Condition condition)
{
    constexpr auto limit = std::chrono::seconds(10);
    for (auto end = std::chrono::steady_clock::now() + limit; std::chrono::steady_clock::now() < end;) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
}

// Caller's connection that sends raw bytes.
class CallerConnection {
public:
    explicit CallerConnection(const std::string& address)
        : m_socket(Poco::Net::SocketAddress(address))
    {
        m_socket.setReceiveTimeout(Poco::Timespan(10, 0));
    }

    void send(const std::string& bytes) { m_socket.sendBytes(bytes.data(), static_cast<int>(bytes.size())); }
    void close() { m_socket.close(); }

    // The next response; status 0 if the connection ends or 10 s pass before it is complete.
    Net::Response receive()
    {
        while (true) {
            if (auto size = Net::headSize(m_in)) {
                auto parsed = Net::parseResponseHead(std::string_view(m_in).substr(0, *size), true);
                if (!parsed.head)
                    return {};
                if (m_in.size() >= *size + parsed.head->length) {
                    auto response = parsed.head->response;
                    response.body = m_in.substr(*size, parsed.head->length);
                    m_in.erase(0, *size + parsed.head->length);
                    m_closes = !parsed.head->keepAlive;
                    return response;
                }
            }
            char buf[4096];
            int n = 0;
            try {
                n = m_socket.receiveBytes(buf, sizeof buf);
            } catch (const Poco::Exception&) {
                return {};
            }
            if (n <= 0)
                return {};
            m_in.append(buf, static_cast<std::size_t>(n));
        }
    }
    // Whether the last response announced that the gateway closes the connection.
    bool closes() const { return m_closes; }
    // Whether bytes after the last response were received.
    bool hasLeftover() const { return !m_in.empty(); }

private:
    Poco::Net::StreamSocket m_socket;
    std::string m_in;
    bool m_closes = false;
};

inline std::string requestBytes(const std::string& method, const std::string& target, const std::string& id, int deadlineMs = 1000, const std::string& body = {})
{
    auto text = method + " " + target + " HTTP/1.1\r\nHost: host.example\r\n" + Names::requestId + ": " + id + "\r\n" + Names::deadline + ": " + std::to_string(deadlineMs) + "\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

// A monotonic clock that runs `factor` times slower than the system's. A gateway with it keeps its own time limits, while the test's
// other threads have more time for their part, so that a busy machine does not make one expire.
inline Common::Hooks slowClock(int factor)
{
    auto hooks = Common::systemHooks();
    auto start = hooks.now();
    hooks.now = [system = hooks.now, start, factor] { return start + (system() - start) / factor; };
    return hooks;
}

// A gateway that runs on its own thread.
class RunningGateway {
public:
    RunningGateway(const std::string& store, const std::vector<std::string>& seeds, const std::string& control, int logDescriptor = -1, Common::Hooks hooks = Common::systemHooks())
        : RunningGateway(settings(store, seeds, control, logDescriptor < 0 ? Common::LogFormat::Off : Common::LogFormat::Json), logDescriptor, std::move(hooks))
    {
    }
    explicit RunningGateway(Settings::GatewaySettings settings, int logDescriptor = -1, Common::Hooks hooks = Common::systemHooks())
        : m_daemon({
            .settings = std::move(settings),
            .platform = PlatformAdapter::binding(),
            .hooks = std::move(hooks),
            .logDescriptor = logDescriptor,
        })
    {
        auto opened = m_daemon.open();
        m_open = opened.has_value();
        m_thread = std::thread([this] { m_clean = m_daemon.run(); });
    }
    ~RunningGateway()
    {
        m_daemon.shutDown();
        m_daemon.shutDown(); // forces it
        if (m_thread.joinable())
            m_thread.join();
    }
    RunningGateway(const RunningGateway&) = delete;
    RunningGateway& operator=(const RunningGateway&) = delete;

    static Settings::GatewaySettings settings(const std::string& store, const std::vector<std::string>& seeds, const std::string& control, Common::LogFormat logFormat)
    {
        Settings::GatewaySettings settings;
        settings.node = "test";
        settings.failureDomain = "a";
        settings.callers = settings.forwarding = settings.ready = settings.directory = settings.metrics = "127.0.0.1:0";
        settings.control = control;
        // Gateways tell each other their callers' addresses, so these must be known before they are bound.
        if (constexpr auto anyPort = "127.0.0.1:0"; control != anyPort)
            settings.callers = "127.0.0.1:" + std::to_string(std::stoi(control.substr(control.find(':') + 1)) + callersPortDistance);
        settings.seeds = seeds;
        settings.store = store;
        settings.graceMs = 2000;
        settings.logFormat = logFormat;
        return settings;
    }

    Gateway::Daemon& daemon() { return m_daemon; }
    std::thread& thread() { return m_thread; }
    bool waitReady()
    {
        return eventually([&] { return get(m_daemon.readyAddress(), Names::readyPath).status == 200; });
    }
    // Waits for the end of a shutdown. Returns false if it cut off requests or connections.
    bool join()
    {
        m_thread.join();
        return m_clean;
    }
    static Net::Response get(const std::string& address, const std::string& target)
    {
        try {
            CallerConnection connection(address);
            connection.send("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
            return connection.receive();
        } catch (const Poco::Exception&) {
            return {};
        }
    }
    Net::Response call(const std::string& bytes)
    {
        CallerConnection connection(m_daemon.callersAddress());
        connection.send(bytes);
        return connection.receive();
    }

private:
    static constexpr int callersPortDistance = 20;

    Gateway::Daemon m_daemon;
    std::thread m_thread;
    bool m_open = false;
    bool m_clean = false;
};

// A store and the backend servers of one service, registered in the store.
class GatewayFixture {
public:
    explicit GatewayFixture(int count = 2)
        : store(std::make_unique<PlatformStandIn::Store>(thread.loop()))
    {
        thread.call([&] {
            for (int i = 1; i <= count; ++i)
                addServer("server-" + std::to_string(i));
            store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(1, "service"));
        });
    }
    ~GatewayFixture()
    {
        thread.call([&] {
            this->servers.clear();
            store.reset();
        });
    }
    GatewayFixture(const GatewayFixture&) = delete;
    GatewayFixture& operator=(const GatewayFixture&) = delete;

    // To be called on the loop's thread.
    PlatformStandIn::Server& addServer(const std::string& id)
    {
        servers.push_back(std::make_unique<PlatformStandIn::Server>(thread.loop(), runs, PlatformStandIn::ServerOptions { .id = id }));
        store->put(Names::registryTable, id, servers.back()->registryValue());
        return *servers.back();
    }
    void setMode(std::size_t index, PlatformStandIn::ServerMode mode)
    {
        thread.call([&] { servers[index]->setMode(mode); });
    }
    std::unique_ptr<RunningGateway> gateway(const std::vector<std::string>& seeds = {}, const std::string& control = "127.0.0.1:0", int logDescriptor = -1)
    {
        return std::make_unique<RunningGateway>(storeAddress(), seeds, control, logDescriptor);
    }
    std::unique_ptr<RunningGateway> gateway(const Common::Hooks& hooks)
    {
        return std::make_unique<RunningGateway>(storeAddress(), std::vector<std::string>(), "127.0.0.1:0", -1, hooks);
    }
    std::string storeAddress()
    {
        return thread.call([&] { return store->address(); });
    }

    PlatformStandIn::LoopThread thread;
    PlatformStandIn::ExecutionLog runs;
    std::unique_ptr<PlatformStandIn::Store> store;
    std::vector<std::unique_ptr<PlatformStandIn::Server>> servers;
};

}
