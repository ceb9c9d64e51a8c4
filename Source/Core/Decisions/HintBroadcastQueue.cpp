#include "Decisions/HintBroadcastQueue.h"

#include <algorithm>

#include "Decisions/GossipMessage.h"

namespace Decisions {

namespace {

    bool isNewer(const ServerHint& hint, const ServerHint& known)
    {
        auto rank = [](HintKind kind) { return kind == HintKind::Draining ? 2 : kind == HintKind::Ejected ? 1
                                                                                                          : 0; };
        if (hint.incarnation != known.incarnation)
            return hint.incarnation > known.incarnation;
        return rank(hint.kind) > rank(known.kind);
    }

}

HintBroadcastQueue::HintBroadcastQueue(HintBroadcastQueueOptions options)
    : m_options(options)
{
}

bool HintBroadcastQueue::add(const ServerHint& hint, int transmissions, Common::TimePoint now)
{
    auto key = std::pair(hint.service, hint.server);
    auto it = m_queue.find(key);
    if (it != m_queue.end() && !isNewer(hint, it->second.hint))
        return false;
    m_queue[key] = { .hint = hint, .transmissions = transmissions, .received = now };
    evictOldest();
    return true;
}

std::vector<ServerHint> HintBroadcastQueue::take(std::size_t bytes)
{
    std::vector<QueuedHint*> unsent;
    for (auto& [key, queued] : m_queue) {
        if (queued.transmissions > 0)
            unsent.push_back(&queued);
    }
    std::stable_sort(unsent.begin(), unsent.end(), [](const QueuedHint* a, const QueuedHint* b) { return a->transmissions > b->transmissions; });
    std::vector<ServerHint> taken;
    for (auto* queued : unsent) {
        auto size = encodedBytes(queued->hint);
        if (size > bytes)
            break;
        bytes -= size;
        --queued->transmissions;
        taken.push_back(queued->hint);
    }
    return taken;
}

void HintBroadcastQueue::expire(Common::TimePoint now)
{
    std::erase_if(m_queue, [&](const auto& item) { return now - item.second.received > m_options.retention; });
}

bool HintBroadcastQueue::hasUnsent() const
{
    return std::any_of(m_queue.begin(), m_queue.end(), [](const auto& item) { return item.second.transmissions > 0; });
}

void HintBroadcastQueue::evictOldest()
{
    if (m_queue.size() <= m_options.capacity)
        return;
    auto oldest = std::min_element(m_queue.begin(), m_queue.end(), [](const auto& a, const auto& b) { return a.second.received < b.second.received; });
    m_queue.erase(oldest);
}

}
