#include "Net/EventLoop.h"

#include <algorithm>
#include <exception>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

namespace Net {

namespace {

    using Poco::Net::PollSet;

    // Upper bound on one poll() call, so that a lost wake-up delays posted work by no more than this.
    constexpr auto maxPollTime = std::chrono::milliseconds(1000);

    int pollMode(bool read, bool write)
    {
        return (read ? PollSet::POLL_READ : 0) | (write ? PollSet::POLL_WRITE : 0) | PollSet::POLL_ERROR;
    }

}

EventLoop::EventLoop(Common::Hooks hooks)
    : m_hooks(std::move(hooks))
    , m_now(m_hooks.now())
    , m_waker(Poco::Net::SocketAddress("127.0.0.1", 0))
{
    m_waker.setBlocking(false);
    m_waker.connect(m_waker.address());
    watch(m_waker, true, false, [this](Readiness) {
        char buf = 0;
        while (m_waker.impl()->available() > 0)
            m_waker.receiveBytes(&buf, 1);
    });
}

EventLoop::TimerId EventLoop::after(Common::Duration delay, std::function<void()> run)
{
    auto id = ++m_lastTimer;
    m_timerIndex[id] = m_timers.emplace(m_now + delay, Timer { .id = id, .run = std::move(run) });
    return id;
}

void EventLoop::cancel(TimerId& id)
{
    auto it = m_timerIndex.find(id);
    id = 0;
    if (it == m_timerIndex.end())
        return;
    m_timers.erase(it->second);
    m_timerIndex.erase(it);
}

void EventLoop::watch(const Poco::Net::Socket& socket, bool read, bool write, SocketHandler handler)
{
    auto mode = pollMode(read, write);
    auto [it, isNew] = m_watches.try_emplace(socket.impl());
    it->second = { .handler = std::make_shared<SocketHandler>(std::move(handler)), .mode = mode };
    if (isNew)
        m_sockets.add(socket, mode);
    else
        m_sockets.update(socket, mode);
}

void EventLoop::setInterest(const Poco::Net::Socket& socket, bool read, bool write)
{
    auto it = m_watches.find(socket.impl());
    auto mode = pollMode(read, write);
    if (it == m_watches.end() || it->second.mode == mode)
        return;
    it->second.mode = mode;
    m_sockets.update(socket, mode);
}

void EventLoop::unwatch(const Poco::Net::Socket& socket)
{
    if (m_watches.erase(socket.impl()) > 0)
        m_sockets.remove(socket);
}

void EventLoop::post(std::function<void()> run)
{
    {
        std::lock_guard lock(m_postMutex);
        m_posted.push_back(std::move(run));
    }
    wake();
}

void EventLoop::defer(std::function<void()> run)
{
    m_deferred.push_back(std::move(run));
}

void EventLoop::wake()
{
    try {
        constexpr char signal = 1;
        m_waker.sendBytes(&signal, 1);
    } catch (const Poco::Exception&) {
        // A full socket buffer means that a wake-up is already pending.
    }
}

void EventLoop::stop()
{
    m_stopping = true;
    wake();
}

void EventLoop::run()
{
    while (!m_stopping)
        runIteration();
}

Common::Duration EventLoop::timeToNextTimer() const
{
    if (!m_deferred.empty())
        return Common::Duration::zero();
    if (m_timers.empty())
        return maxPollTime;
    return std::clamp<Common::Duration>(m_timers.begin()->first - m_hooks.now(), Common::Duration::zero(), maxPollTime);
}

template <typename Run>
bool EventLoop::invoke(Run&& run)
{
    try {
        run();
        return true;
    } catch (const Poco::Exception& ec) {
        if (m_errorHook)
            m_errorHook(ec.displayText());
    } catch (const std::exception& ec) {
        if (m_errorHook)
            m_errorHook(ec.what());
    }
    return false;
}

void EventLoop::runIteration()
{
    // Rounded up to whole milliseconds: a poll() that returned just before the timer is due would make the loop spin.
    auto wait = std::chrono::ceil<std::chrono::milliseconds>(timeToNextTimer());
    auto ready = m_sockets.poll(Poco::Timespan(std::chrono::microseconds(wait).count()));
    m_now = m_hooks.now();
    for (const auto& [socket, mode] : ready) {
        // A handler that ran earlier in this iteration may have unwatched this socket.
        auto it = m_watches.find(socket.impl());
        if (it == m_watches.end())
            continue;
        auto handler = it->second.handler;
        auto failed = (mode & PollSet::POLL_ERROR) != 0;
        Readiness readiness { .readable = failed || (mode & PollSet::POLL_READ) != 0, .writable = failed || (mode & PollSet::POLL_WRITE) != 0 };
        if (!invoke([&] { (*handler)(readiness); }))
            unwatch(socket);
        runDeferred();
    }
    runPosted();
    runTimers();
    runDeferred();
}

void EventLoop::runDeferred()
{
    while (!m_deferred.empty()) {
        std::vector<std::function<void()>> batch;
        batch.swap(m_deferred);
        for (auto& run : batch)
            invoke(run);
    }
}

void EventLoop::runTimers()
{
    while (!m_timers.empty() && m_timers.begin()->first <= m_now) {
        auto timer = std::move(m_timers.begin()->second);
        m_timerIndex.erase(timer.id);
        m_timers.erase(m_timers.begin());
        invoke(timer.run);
        runDeferred();
    }
}

void EventLoop::runPosted()
{
    std::vector<std::function<void()>> batch;
    {
        std::lock_guard lock(m_postMutex);
        batch.swap(m_posted);
    }
    for (auto& run : batch)
        invoke(run);
}

}
