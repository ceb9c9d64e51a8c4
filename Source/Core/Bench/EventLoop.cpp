#include "Bench/EventLoop.h"

#include <future>

#include <boost/asio/post.hpp>

namespace Bench {

EventLoop::EventLoop()
    : m_work(m_context.get_executor())
    , m_thread([this] { m_context.run(); })
{
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::post(std::function<void()> work)
{
    boost::asio::post(m_context, std::move(work));
}

void EventLoop::call(const std::function<void()>& work)
{
    if (std::this_thread::get_id() == m_thread.get_id())
        return work();
    std::promise<void> done;
    post([&] {
        work();
        done.set_value();
    });
    done.get_future().wait();
}

void EventLoop::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

}
