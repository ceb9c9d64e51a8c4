#include "Net/TimerGroup.h"

namespace Net {

TimerGroup::~TimerGroup()
{
    for (auto& id : m_pending)
        m_loop.cancel(id);
}

void TimerGroup::after(Common::Duration delay, std::function<void()> run)
{
    auto it = m_pending.insert(m_pending.end(), 0);
    *it = m_loop.after(delay, [this, it, run = std::move(run)] {
        m_pending.erase(it);
        run(); // may destroy the owner
    });
}

}
