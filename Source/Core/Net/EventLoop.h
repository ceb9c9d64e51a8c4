#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include "Common/Clock.h"

namespace Net {

// Readiness of a watched socket. A socket error is reported as both readable and writable.
struct Readiness {
    bool readable = false;
    bool writable = false;
};

using SocketHandler = std::function<void(Readiness)>;

// Single-threaded event loop for sockets and timers. All functions except post() and stop() must be called on the thread of run().
class EventLoop {
public:
    using TimerId = std::uint64_t; // 0 is never a valid timer

    explicit EventLoop(Common::Hooks);
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // The hooks' time when poll() of the current iteration returned.
    Common::TimePoint now() const { return m_now; }
    const Common::Hooks& hooks() const { return m_hooks; }

    TimerId after(Common::Duration, std::function<void()>);
    // Cancels a timer and resets its id to 0. Has no effect on a timer that has run or on id 0.
    void cancel(TimerId&);

    // Calls the handler whenever the socket is ready. A second call for the same socket replaces handler and interest.
    void watch(const Poco::Net::Socket&, bool read, bool write, SocketHandler);
    void setInterest(const Poco::Net::Socket&, bool read, bool write);
    void unwatch(const Poco::Net::Socket&);

    // Queues a function to run on the loop's thread and wakes the loop. Thread-safe.
    void post(std::function<void()>);
    // Queues a function to run after the handler of the current event returns.
    void defer(std::function<void()>);

    // Called with what a handler threw; without a hook it is dropped. The loop goes on, but no longer watches the socket whose handler
    // threw: it would throw again and again.
    void onUnexpectedError(std::function<void(const std::string& what)> hook) { m_errorHook = std::move(hook); }

    void run();
    // Makes run() return. Thread-safe.
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

    // Runs a handler. Returns false if it threw.
    template <typename Run>
    bool invoke(Run&&);
    void runIteration();
    void runDeferred();
    void runTimers();
    void runPosted();
    void wake();
    Common::Duration timeToNextTimer() const;

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
    Poco::Net::DatagramSocket m_waker; // UDP socket connected to itself: a byte sent interrupts poll()
    std::atomic<bool> m_stopping = false;
    std::function<void(const std::string&)> m_errorHook;
};

}
