#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <semaphore>
#include <string>

#include "Bench/StandInServer.h"
#include "Common/Clock.h"

namespace Bench {

// What backend servers really ran, by request id: what every call is checked against. Thread-safe.
class Ledger {
public:
    void ran(const std::string& id);
    int runs(const std::string& id) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs;
};

struct BackendOptions {
    int slots = 4;
    int connections = 300;
    Common::Duration serviceTime = std::chrono::milliseconds(1);
};

// A backend server: it works on `slots` requests at once, the rest wait.
class BackendStandIn {
public:
    BackendStandIn(BackendOptions, Ledger&);

    std::string address() const { return m_server.address(); }
    // The body that answers a request id: its own, and checkable.
    static std::string bodyFor(const std::string& id);

private:
    void handle(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

    BackendOptions m_options;
    Ledger& m_ledger;
    std::counting_semaphore<> m_slots;
    std::atomic<int> m_inFlight { 0 };
    StandInServer m_server;
};

}
