#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include "Common/Clock.h"

namespace Net {

// What a watched socket is ready for; an error counts as both.
struct Readiness {
    bool readable = false;
    bool writable = false;
};

using SocketHandler = std::function<void(Readiness)>;

// One thread's sockets and timers. All calls but post() and stop() belong to the thread of run().
class EventLoop {
public:
    using TimerId = std::uint64_t; // 0 names no timer

    explicit EventLoop(Common::Hooks);
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // The time at which the current turn began, in step with the hooks' clock.
    Common::TimePoint now() const { return m_now; }
    const Common::Hooks& hooks() const { return m_hooks; }

    TimerId after(Common::Duration, std::function<void()>);
    // Ends a timer and zeroes its id; one that has run or is 0 is ignored.
    void cancel(TimerId&);

    // Calls the handler whenever the socket is ready; a second call changes what is waited for.
    void watch(const Poco::Net::Socket&, bool read, bool write, SocketHandler);
    void interest(const Poco::Net::Socket&, bool read, bool write);
    void unwatch(const Poco::Net::Socket&);

    // Runs a function in the loop's thread, soon. Thread-safe.
    void post(std::function<void()>);
    // Runs a function once the current event has been handled.
    void defer(std::function<void()>);

    void run();
    // Ends run(). Thread-safe.
    void stop();

private:
    struct Timer {
        TimerId id = 0;
        std::function<void()> run;
    };
    struct Watch {
        std::shared_ptr<SocketHandler> handler;
        int mode = 0;
    };

    void turn();
    void runDeferred();
    void runTimers();
    void runPosted();
    void wake();
    Common::Duration untilNextTimer() const;

    Common::Hooks m_hooks;
    Common::TimePoint m_now;
    Poco::Net::PollSet m_sockets;
    std::unordered_map<const Poco::Net::SocketImpl*, Watch> m_watches;
    std::multimap<Common::TimePoint, Timer> m_timers;
    std::unordered_map<TimerId, std::multimap<Common::TimePoint, Timer>::iterator> m_timerIndex;
    TimerId m_lastTimer = 0;
    std::vector<std::function<void()>> m_deferred;

    std::mutex m_postMutex; // guards m_posted
    std::vector<std::function<void()>> m_posted;
    Poco::Net::DatagramSocket m_waker; // sends to itself
    std::atomic<bool> m_stopping = false;
};

}
