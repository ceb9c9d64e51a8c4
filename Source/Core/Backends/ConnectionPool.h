#pragma once

#include <memory>
#include <mutex>
#include <vector>

#include "Backends/BackendSession.h"

namespace Backends {

struct ConnectionPoolOptions {
    SessionOptions session;
    int limit = 300; // open connections at most
    Common::Duration idleLimit = std::chrono::seconds(30); // a kept connection is retired after it
};

// Kept connections of one entry to one backend server. Thread-safe.
class ConnectionPool {
public:
    explicit ConnectionPool(ConnectionPoolOptions);

    struct Lease {
        std::unique_ptr<BackendSession> session; // empty where the limit is reached
        bool kept = false; // was used before
    };

    // The connection used last, else an unopened one.
    Lease acquire();
    // Keeps a reusable connection, ends another.
    void release(std::unique_ptr<BackendSession>);
    int open() const;

private:
    ConnectionPoolOptions m_options;
    mutable std::mutex m_mutex;
    std::vector<std::unique_ptr<BackendSession>> m_idle;
    int m_open = 0;
};

}
