#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "Bench/EventLoop.h"
#include "Bench/Faults.h"
#include "Bench/Ledger.h"
#include "Common/Clock.h"

namespace Bench {

// A request as a backend server sees it.
struct BackendCall {
    std::string id;
    std::string path;
    Common::TimePoint deadline; // epoch: none
    int retry = 0; // Cowslipledge-Retry
};

// Sends a call on to another service and reports its HTTP status; called on the server's loop.
using CallOn = std::function<void(EventLoop&, const BackendCall&, std::function<void(int status)>)>;

struct BackendOptions {
    int number = 0; // in the ledger
    std::string service {};
    int slots = 4;
    int connections = 300;
    Common::Duration serviceTime = std::chrono::milliseconds(1); // mean, at speed 1
    bool fixedServiceTime = false; // else half fixed, half exponential
    double speed = 1;
    Common::Duration connectCost = std::chrono::milliseconds(1); // a slot's time for each new connection
    Common::Duration probeCost = std::chrono::milliseconds(6); // a slot's time for each probe
    int queueLimit = 256; // waiting requests; more are shed with proof
    std::uint64_t seed = 1;
    CallOn callOn {}; // for paths /deep/N with N > 0
};

// What one backend server counted.
struct BackendCounts {
    std::atomic<std::uint64_t> requests { 0 }; // arrived, run or not; without probes
    std::atomic<std::uint64_t> probes { 0 };
    std::atomic<int> openConnections { 0 };
    std::atomic<int> mostConnections { 0 };
    std::atomic<std::uint64_t> connections { 0 }; // opened in all
    std::atomic<std::uint64_t> connectionsRefused { 0 }; // above the limit
};

// A backend server: it works on `slots` requests at once, the rest wait in order. One loop serves many of them.
class BackendStandIn {
public:
    // Without a loop it makes its own.
    BackendStandIn(BackendOptions, Ledger&, EventLoop* loop = nullptr);
    ~BackendStandIn();
    BackendStandIn(const BackendStandIn&) = delete;
    BackendStandIn& operator=(const BackendStandIn&) = delete;

    std::string address() const;
    const BackendOptions& options() const;
    const BackendCounts& counts() const;

    // Begins a fault; SilentConnections and Crash act on what is open now.
    void begin(const Fault&);
    void end(FaultKind);

    // The body that answers a request id: its own, of a length that depends on the id, and checkable.
    static std::string bodyFor(const std::string& id);
    // The work of a request at speed 1.
    static Common::Duration workOf(const BackendOptions&, const std::string& id);

private:
    std::unique_ptr<EventLoop> m_ownLoop;
    EventLoop& m_loop;
    std::shared_ptr<class BackendServer> m_server;
};

}
