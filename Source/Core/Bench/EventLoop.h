#pragma once

#include <functional>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace Bench {

// One thread that serves many sockets and timers. What belongs to a loop is touched on its thread only.
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    boost::asio::io_context& context() { return m_context; }
    // Runs the work on the loop's thread, soon.
    void post(std::function<void()>);
    // Runs the work on the loop's thread and waits for its end.
    void call(const std::function<void()>&);
    // Ends the thread; nothing runs afterwards.
    void stop();

private:
    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

}
