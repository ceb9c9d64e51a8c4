#pragma once

#include <functional>
#include <list>

#include "Net/EventLoop.h"

namespace Net {

// Timers of one owner, which are cancelled when the owner is destroyed. All calls belong to the loop's thread.
class TimerGroup {
public:
    explicit TimerGroup(EventLoop& loop)
        : m_loop(loop)
    {
    }
    ~TimerGroup();
    TimerGroup(const TimerGroup&) = delete;
    TimerGroup& operator=(const TimerGroup&) = delete;

    void after(Common::Duration, std::function<void()>);

private:
    EventLoop& m_loop;
    std::list<EventLoop::TimerId> m_pending;
};

}
