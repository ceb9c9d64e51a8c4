#include "Decisions/Rumours.h"

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

Rumours::Rumours(RumoursOptions options)
    : m_options(options)
{
}

bool Rumours::hear(const ServerHint& hint, int transmissions, Common::TimePoint now)
{
    auto key = std::pair(hint.service, hint.server);
    auto it = m_rumours.find(key);
    if (it != m_rumours.end() && !isNewer(hint, it->second.hint))
        return false;
    m_rumours[key] = { .hint = hint, .transmissions = transmissions, .heard = now };
    makeRoom();
    return true;
}

std::vector<ServerHint> Rumours::take(std::size_t bytes)
{
    std::vector<Rumour*> waiting;
    for (auto& [key, rumour] : m_rumours) {
        if (rumour.transmissions > 0)
            waiting.push_back(&rumour);
    }
    std::stable_sort(waiting.begin(), waiting.end(), [](const Rumour* a, const Rumour* b) { return a->transmissions > b->transmissions; });
    std::vector<ServerHint> taken;
    for (auto* rumour : waiting) {
        auto size = encodedBytes(rumour->hint);
        if (size > bytes)
            break;
        bytes -= size;
        --rumour->transmissions;
        taken.push_back(rumour->hint);
    }
    return taken;
}

void Rumours::expire(Common::TimePoint now)
{
    std::erase_if(m_rumours, [&](const auto& item) { return now - item.second.heard > m_options.retention; });
}

bool Rumours::hasUnsent() const
{
    return std::any_of(m_rumours.begin(), m_rumours.end(), [](const auto& item) { return item.second.transmissions > 0; });
}

void Rumours::makeRoom()
{
    if (m_rumours.size() <= m_options.capacity)
        return;
    auto oldest = std::min_element(m_rumours.begin(), m_rumours.end(), [](const auto& a, const auto& b) { return a.second.heard < b.second.heard; });
    m_rumours.erase(oldest);
}

}
