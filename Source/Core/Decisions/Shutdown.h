#pragma once

#include "Common/Clock.h"

namespace Decisions {

struct ShutdownOptions {
    Common::Duration directoryTtl = std::chrono::seconds(5); // the longest time a caller keeps a directory answer
    Common::Duration closeGrace = std::chrono::milliseconds(500); // for callers to read "Connection: close" off their kept connections
    Common::Duration limit = std::chrono::seconds(30); // from the beginning; then what is left is cut
};

enum class ShutdownPhase {
    Serving,
    Leaving, // out of the directory, callers that still hold an answer are served as usual
    Closing, // answers carry "Connection: close"
    Draining, // idle connections are ended, calls in flight go on
    Stopped, // nothing is left
    Forced, // calls were in flight at the limit, or somebody asked not to wait
};

// How an entry ends without cutting a call. Pure: the owner tells the time and what is left.
class Shutdown {
public:
    explicit Shutdown(const ShutdownOptions&);

    void begin(Common::TimePoint now);
    // Gives up waiting at the next advance().
    void force();
    // The phase now; it never goes back.
    ShutdownPhase advance(Common::TimePoint now, int callsInFlight, int connections);
    ShutdownPhase phase() const { return m_phase; }

private:
    ShutdownOptions m_options;
    ShutdownPhase m_phase = ShutdownPhase::Serving;
    Common::TimePoint m_begun;
    bool m_forced = false;
};

}
