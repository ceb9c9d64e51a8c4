#pragma once

#include <map>
#include <utility>
#include <vector>

#include "Common/Clock.h"
#include "Decisions/ServerHint.h"

namespace Decisions {

struct RumoursOptions {
    std::size_t capacity = 2048;
    Common::Duration retention = std::chrono::minutes(2);
};

// The newest hint on each backend server, with how often it may still be sent on. Bounded. Not thread-safe.
class Rumours {
public:
    explicit Rumours(RumoursOptions);

    // True when the hint is news here; it may then be sent `transmissions` times.
    bool hear(const ServerHint&, int transmissions, Common::TimePoint now);
    // Hints for one message, least sent first, within a size in bytes; counts them as sent.
    std::vector<ServerHint> take(std::size_t bytes);
    void expire(Common::TimePoint now);
    bool hasUnsent() const;
    std::size_t size() const { return m_rumours.size(); }

private:
    struct Rumour {
        ServerHint hint;
        int transmissions = 0;
        Common::TimePoint heard;
    };

    void makeRoom();

    RumoursOptions m_options;
    std::map<std::pair<std::string, std::string>, Rumour> m_rumours; // by service and server
};

}
