#include "Decisions/ServerPool.h"

namespace Decisions {

void ServerPool::add(const ServerSpec& spec, Common::TimePoint now, bool cold)
{
    auto& slot = m_servers[spec.address];
    // One that comes back while requests to it are open keeps counting them; all else is a new process's to show.
    auto open = slot ? std::move(slot->open) : std::vector<OpenRequest> {};
    slot = std::make_unique<Server>();
    slot->spec = spec;
    slot->id = ++m_lastId;
    slot->open = std::move(open);
    slot->slots = m_options.slots;
    if (cold)
        slot->slowStart.begin(now);
    ++m_present;
    m_leaving += spec.leaving;
    if (spec.leaving)
        slot->drain.sawDraining(now, incarnationClock());
    place(*slot);
    tell(PoolEventKind::Added, *slot);
}

void ServerPool::update(Server& server, const ServerSpec& spec, Common::TimePoint now)
{
    if (server.spec == spec)
        return;
    auto left = server.leaving();
    auto listedLeaving = server.spec.leaving;
    server.spec = spec;
    if (spec.leaving && server.drain.sawDraining(now, incarnationClock())) {
        hint(HintKind::Draining, server);
        tell(PoolEventKind::Draining, server);
    }
    if (listedLeaving && !spec.leaving) {
        // The list is late but its own order is right: what it calls live after leaving is a new process.
        server.drain.sawGone();
        if (server.drain.sawLive(now, now + Common::Duration(1), incarnationClock())) {
            server.slowStart.begin(now);
            hint(HintKind::Live, server);
            tell(PoolEventKind::Live, server);
        }
    }
    m_leaving += server.leaving() && !left;
    m_leaving -= left && !server.leaving();
    place(server);
}

void ServerPool::drop(Server& server)
{
    --m_present;
    m_leaving -= server.leaving();
    server.present = false;
    m_ejected.erase({ server.ejection.until, server.id });
    server.ejection.ejected = false;
    place(server);
    tell(PoolEventKind::Removed, server);
    if (server.open.empty())
        m_servers.erase(std::string(server.spec.address));
}

void ServerPool::place(Server& server)
{
    auto placed = server.position != Server::nowhere;
    if (server.takesWork() && !placed)
        m_choice.add(server, m_hooks);
    if (!server.takesWork() && placed)
        m_choice.remove(server);
}

void ServerPool::tell(PoolEventKind kind, const Server& server, std::optional<EjectionReason> reason)
{
    m_events.push_back({ .kind = kind, .server = server.spec.address, .reason = reason });
}

void ServerPool::hint(HintKind kind, const Server& server)
{
    m_hints.push_back({ .service = m_options.service, .server = server.spec.address, .kind = kind, .incarnation = server.drain.incarnation() });
}

}
