#pragma once

#include "Common/Clock.h"

namespace Decisions {

struct ShutdownOptions {
    Common::Duration directoryTtl = std::chrono::seconds(5); // longest time for which callers cache a directory answer
    Common::Duration closeGrace = std::chrono::milliseconds(500); // for callers to see "Connection: close" on persistent connections
    Common::Duration limit = std::chrono::seconds(30); // from begin(); connections that are left then are closed
};

enum class ShutdownPhase {
    Serving,
    Leaving, // no longer in the directory; callers with a cached answer are served as usual
    Closing, // responses carry "Connection: close"
    Draining, // connections end after the calls in flight
    Stopped, // no call is in flight
    Forced, // calls were in flight at the limit or after force()
};

// Phases of a graceful shutdown, which interrupts no call before the limit. The owner passes in the time and the numbers of
// calls and connections.
class Shutdown {
public:
    explicit Shutdown(const ShutdownOptions&);

    void begin(Common::TimePoint now);
    // Ends the wait for calls and connections at the next advance().
    void force();
    // Returns the present phase; phases never go back.
    ShutdownPhase advance(Common::TimePoint now, int callsInFlight, int connections);
    ShutdownPhase phase() const { return m_phase; }
    // When calls and connections that are left are closed; set by begin().
    Common::TimePoint end() const { return m_startTime + m_options.limit; }

private:
    ShutdownOptions m_options;
    ShutdownPhase m_phase = ShutdownPhase::Serving;
    Common::TimePoint m_startTime;
    bool m_forced = false;
};

// A call that has not been sent to a server yet.
struct UnsentCall {
    Common::Duration expected {}; // time that the server needs
    Common::Duration allowed {}; // until the call's deadline, which ends it in any case
    bool isWhole = true; // false: the caller is still sending it
};

// Whether the call is likely to be answered within `timeLeft`, however much slower than expected the server is.
bool completesWithin(Common::Duration timeLeft, const UnsentCall&);

}
