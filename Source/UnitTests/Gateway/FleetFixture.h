#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "GatewayFixture.h"
#include "Soak/FaultProxy.h"

namespace UnitTests {

enum class CutKind {
    Silent,
    Reset,
    NewRefused, // open connections live on
};

// Tests run side by side, and a port that two processes bind is shared by them: of `firstPort` to firstPort + gateways - 1, and those 20 above for
// callers, none may be another test's.
// A store, servers and gateways. The gateways reach the servers through proxies that tell them apart by their IP addresses.
class Fleet {
public:
    // `adjust`: changes the settings of each gateway.
    Fleet(int gateways, int firstPort, int servers = 6, const std::function<void(Settings::GatewaySettings&)>& adjust = {})
        : m_fixture(0)
    {
        m_fixture.thread.call([&] {
            for (int i = 1; i <= servers; ++i)
                addServer("server-" + std::to_string(i));
        });
        std::vector<std::string> seeds { controlAddress(firstPort, 0), controlAddress(firstPort, 1) };
        for (int i = 0; i < gateways; ++i) {
            auto settings = RunningGateway::settings(m_fixture.storeAddress(), seeds, controlAddress(firstPort, i), Common::LogFormat::Off);
            settings.failureDomain = i % 2 == 0 ? "a" : "b";
            settings.backendSource = sourceHost(i);
            if (adjust)
                adjust(settings);
            m_gateways.push_back(std::make_unique<RunningGateway>(settings));
        }
    }
    ~Fleet()
    {
        m_gateways.clear();
        m_fixture.thread.call([&] { m_proxies.clear(); });
    }
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    // Whether all gateways are ready and know each other.
    bool waitReady()
    {
        for (auto& gateway : m_gateways) {
            if (!gateway->waitReady())
                return false;
            auto line = "cowslipledge_members " + std::to_string(m_gateways.size()) + "\n";
            if (!eventually([&] { return metrics(*gateway).find(line) != std::string::npos; }))
                return false;
        }
        return true;
    }

    // Cuts the gateway off from all servers but the first `kept`.
    void cut(int gateway, CutKind kind, std::size_t kept = 0)
    {
        m_fixture.thread.call([&] {
            for (std::size_t i = kept; i < m_proxies.size(); ++i) {
                auto& proxy = *m_proxies[i];
                proxy.setModeFor(sourceHost(gateway), kind == CutKind::Silent ? Soak::ProxyMode::Silence : Soak::ProxyMode::Refuse);
                if (kind == CutKind::Reset)
                    proxy.resetAllOf(sourceHost(gateway));
            }
        });
    }
    void heal(int gateway)
    {
        m_fixture.thread.call([&] {
            for (auto& proxy : m_proxies)
                proxy->clearModeFor(sourceHost(gateway));
        });
    }
    static std::string metrics(RunningGateway& gateway) { return RunningGateway::get(gateway.daemon().metricsAddress(), "/metrics").body; }
    RunningGateway& gateway(int index) { return *m_gateways[static_cast<std::size_t>(index)]; }
    // A figure of the gateway's metrics page; nullopt if it is not there.
    static std::optional<int> metric(RunningGateway& gateway, const std::string& name)
    {
        auto page = metrics(gateway);
        auto line = "\ncowslipledge_" + name + " ";
        auto at = page.find(line);
        return at == std::string::npos ? std::nullopt : std::optional(std::stoi(page.substr(at + line.size())));
    }
    // Forces the gateway to end, as if it were killed.
    void stop(int index) { m_gateways[static_cast<std::size_t>(index)].reset(); }
    int runs(const std::string& id) const { return m_fixture.runs.runs(id); }
    void setWork(Common::Duration work)
    {
        m_fixture.thread.call([&] {
            for (auto& server : m_fixture.servers)
                server->setWork(work);
        });
    }
    GatewayFixture& fixture() { return m_fixture; }

private:
    static std::string controlAddress(int firstPort, int index) { return "127.0.0.1:" + std::to_string(firstPort + index); }
    static std::string sourceHost(int index) { return "127.0.1." + std::to_string(index + 1); }

    void addServer(const std::string& id)
    {
        auto& server = m_fixture.addServer(id);
        m_proxies.push_back(std::make_unique<Soak::FaultProxy>(m_fixture.thread.loop(), server.address()));
        auto value = server.registryValue();
        value.replace(value.find(server.address()), server.address().size(), m_proxies.back()->address());
        m_fixture.store->put(Names::registryTable, id, value);
    }

    GatewayFixture m_fixture;
    std::vector<std::unique_ptr<Soak::FaultProxy>> m_proxies;
    std::vector<std::unique_ptr<RunningGateway>> m_gateways;
};

}
