#include "Requests/ServiceStates.h"

#include "Common/Hash.h"

namespace Requests {

std::shared_ptr<ServiceState> ServiceStates::of(const std::string& service)
{
    auto& shard = m_shards[Common::hash(service) % shardCount];
    std::lock_guard lock(shard.mutex);
    auto& state = shard.states[service];
    if (!state)
        state = std::make_shared<ServiceState>(m_options);
    return state;
}

void ServiceStates::refreshSlots(const std::string& service, ServiceState& state, Common::TimePoint now) const
{
    {
        std::lock_guard lock(state.mutex);
        if (state.slotsAskedAt != Common::TimePoint::min() && now - state.slotsAskedAt < m_options.slotsAge)
            return;
        state.slotsAskedAt = now;
    }
    // Asked outside the lock: it takes another one.
    auto slots = m_options.slots(service);
    std::lock_guard lock(state.mutex);
    state.slots = slots;
}

}
