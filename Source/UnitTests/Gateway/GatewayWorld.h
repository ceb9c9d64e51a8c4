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

// Polls until the condition holds; false after ten seconds.
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

// A caller's connection with plain bytes.
class CallerConnection {
public:
    explicit CallerConnection(const std::string& address)
        : m_socket(Poco::Net::SocketAddress(address))
    {
        m_socket.setReceiveTimeout(Poco::Timespan(10, 0));
    }

    void send(const std::string& bytes) { m_socket.sendBytes(bytes.data(), static_cast<int>(bytes.size())); }
    void close() { m_socket.close(); }

    // The next answer; status 0 where the connection ends before a whole one.
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
    bool closes() const { return m_closes; }
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

// A gateway on a thread of its own.
class RunningGateway {
public:
    RunningGateway(const std::string& store, const std::vector<std::string>& seeds, const std::string& control, int logDescriptor = -1)
        : m_daemon({ .settings = settings(store, seeds, control, logDescriptor < 0 ? Common::LogFormat::Off : Common::LogFormat::Json), .platform = PlatformAdapter::binding(), .logDescriptor = logDescriptor })
    {
        auto opened = m_daemon.open();
        m_open = opened.has_value();
        m_thread = std::thread([this] { m_clean = m_daemon.run(); });
    }
    ~RunningGateway()
    {
        m_daemon.shutDown();
        m_daemon.shutDown();
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
        settings.callers = settings.ready = settings.directory = settings.metrics = "127.0.0.1:0";
        settings.control = control;
        // Entries that know each other name their callers' addresses, which have to be known before they are bound.
        if (constexpr auto anyPort = "127.0.0.1:0"; control != anyPort)
            settings.callers = "127.0.0.1:" + std::to_string(std::stoi(control.substr(control.find(':') + 1)) + callersPortDistance);
        settings.seeds = seeds;
        settings.store = store;
        settings.graceMs = 2000;
        settings.logFormat = logFormat;
        return settings;
    }

    Gateway::Daemon& daemon() { return m_daemon; }
    bool waitReady()
    {
        return eventually([&] { return get(m_daemon.readyAddress(), Names::readyPath).status == 200; });
    }
    // Waits for the end of a shutdown; whether nothing was cut.
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

// The store and backend servers of one service, with their rows in the store.
class GatewayWorld {
public:
    explicit GatewayWorld(int count = 2)
        : store(std::make_unique<PlatformStandIn::Store>(thread.loop()))
    {
        thread.call([&] {
            for (int i = 1; i <= count; ++i)
                addServer("server-" + std::to_string(i));
            store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(1, "service"));
        });
    }
    ~GatewayWorld()
    {
        thread.call([&] {
            this->servers.clear();
            store.reset();
        });
    }
    GatewayWorld(const GatewayWorld&) = delete;
    GatewayWorld& operator=(const GatewayWorld&) = delete;

    // In the loop's thread.
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
    std::string storeAddress()
    {
        return thread.call([&] { return store->address(); });
    }

    PlatformStandIn::LoopThread thread;
    PlatformStandIn::RunLog runs;
    std::unique_ptr<PlatformStandIn::Store> store;
    std::vector<std::unique_ptr<PlatformStandIn::Server>> servers;
};

}
