#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "Backends/BackendSession.h"

namespace Backends {

struct ConnectionPoolOptions {
    SessionOptions session;
    int limit = 300; // open connections at most
    Common::Duration idleLimit = std::chrono::seconds(30); // a kept connection is retired after it
    Common::Duration silenceLimit = std::chrono::milliseconds(100); // a shorter wait for an answer makes nothing suspect
    std::function<void(int retired)> onSuspect = {}; // a connection went silent; how many others are replaced
};

// A connection heard from within this time may carry a request that must not be sent twice.
inline constexpr Common::Duration freshConnectionLimit = std::chrono::milliseconds(500);

// Kept connections of one entry to one backend server. Thread-safe.
class ConnectionPool {
public:
    explicit ConnectionPool(ConnectionPoolOptions);

    struct Lease {
        std::unique_ptr<BackendSession> session; // empty where the limit is reached
        bool kept = false; // was used before
    };

    // The connection used last if it was heard from within `freshness`, else an unopened one. At the limit an older idle
    // connection gives way to it.
    Lease acquire(Common::Duration freshness = Common::Duration::max());
    // Keeps a reusable connection, ends another. One that went silent makes all others suspect that were last heard from
    // before its request was sent: they are replaced.
    void release(std::unique_ptr<BackendSession>);
    int open() const;
    // Ends idle connections above the new limit; those in use end as they are released.
    void setLimit(int);

private:
    using Sessions = std::vector<std::unique_ptr<BackendSession>>;

    void dropHeardBefore(Common::TimePoint, Sessions& retired);

    ConnectionPoolOptions m_options;
    mutable std::mutex m_mutex;
    Sessions m_idle; // last heard from in ascending order, nearly
    Common::TimePoint m_suspectBefore; // connections last heard from earlier are not used again
    int m_open = 0;
};

}
