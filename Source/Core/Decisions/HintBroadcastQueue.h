#pragma once

#include <map>
#include <utility>
#include <vector>

#include "Common/Clock.h"
#include "Decisions/ServerHint.h"

namespace Decisions {

struct HintBroadcastQueueOptions {
    // Hints kept; beyond that the one received earliest is dropped.
    std::size_t capacity = 2048;
    // Time after which a hint is forgotten.
    Common::Duration retention = std::chrono::minutes(2);
};

// The newest hint on each backend server, with the number of transmissions that it has left. Bounded. Not thread-safe.
class HintBroadcastQueue {
public:
    explicit HintBroadcastQueue(HintBroadcastQueueOptions);

    // Adds a hint that may be sent `transmissions` times. Returns false for a hint that is not newer than the known one.
    bool add(const ServerHint&, int transmissions, Common::TimePoint now);
    // Hints for one message, the least sent first, of at most `bytes` bytes in all; counts them as sent.
    std::vector<ServerHint> take(std::size_t bytes);
    void expire(Common::TimePoint now);
    bool hasUnsent() const;
    std::size_t size() const { return m_queue.size(); }

private:
    struct QueuedHint {
        ServerHint hint;
        int transmissions = 0; // left
        Common::TimePoint received;
    };

    void evictOldest();

    HintBroadcastQueueOptions m_options;
    std::map<std::pair<std::string, std::string>, QueuedHint> m_queue; // by service and server
};

}
