#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_set>

#include <Poco/Net/ServerSocket.h>

#include "Common/NameTable.h"
#include "Net/EventLoop.h"
#include "Net/TimerGroup.h"
#include "Soak/OddAnswers.h"

namespace Soak {

enum class ProxyMode {
    Pass,
    Delay, // each piece is held back
    Silence, // takes connections and bytes, forwards nothing
    OneWay, // forwards requests, no answers
    Refuse, // resets new connections; open ones live on
};

inline constexpr std::array proxyModeNames {
    Common::EnumName<ProxyMode> { ProxyMode::Pass, "pass" },
    Common::EnumName<ProxyMode> { ProxyMode::Delay, "delay" },
    Common::EnumName<ProxyMode> { ProxyMode::Silence, "silence" },
    Common::EnumName<ProxyMode> { ProxyMode::OneWay, "one-way" },
    Common::EnumName<ProxyMode> { ProxyMode::Refuse, "refuse" },
};

// Forwards TCP connections on loopback and does harm on the way. All calls belong to the loop's thread.
class FaultProxy {
public:
    FaultProxy(Net::EventLoop&, std::string target);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    std::string address() const { return m_listener.address().toString(); }
    void setMode(ProxyMode mode) { m_mode = mode; }
    // The mode for clients at one IP address, which goes before the one for all.
    void setModeFor(const std::string& clientHost, ProxyMode mode) { m_modes[clientHost] = mode; }
    void clearModeFor(const std::string& clientHost) { m_modes.erase(clientHost); }
    void setDelay(Common::Duration delay) { m_delay = delay; }
    // While set, long uploads are answered early and some other answers are spoiled. Null: none; else it must outlive the proxy's use.
    void setOddAnswers(OddAnswers* odd) { m_oddAnswers = odd; }
    // Resets all open connections, or those of clients at one IP address.
    void resetAll();
    void resetAllOf(const std::string& clientHost);

private:
    struct Pair;

    void accept();
    ProxyMode modeFor(const Pair&) const;
    void forward(const std::shared_ptr<Pair>&, bool fromClient);
    void deliver(const std::shared_ptr<Pair>&, bool toClient, const std::string& bytes);
    void answerEarly(const std::shared_ptr<Pair>&, const std::string& answer);
    void end(const std::shared_ptr<Pair>&, bool abruptly);

    Net::EventLoop& m_loop;
    Net::TimerGroup m_timers;
    std::string m_target;
    Poco::Net::ServerSocket m_listener;
    ProxyMode m_mode = ProxyMode::Pass;
    std::map<std::string, ProxyMode> m_modes; // by IP address of the client
    Common::Duration m_delay = std::chrono::milliseconds(50);
    OddAnswers* m_oddAnswers = nullptr;
    std::unordered_set<std::shared_ptr<Pair>> m_pairs;
};

}
