#include "Decisions/ServerPool.h"

namespace Decisions {

void ServerPool::addServer(const ServerSpec& spec, Common::TimePoint now, bool cold)
{
    auto& server = m_servers[spec.address];
    // A server that returns while requests to it are still open keeps counting them. All other state is discarded, since
    // this may be a new process.
    auto openRequests = server ? std::move(server->openRequests) : std::vector<OpenRequest> {};
    server = std::make_unique<Server>();
    server->spec = spec;
    server->id = ++m_lastId;
    server->openRequests = std::move(openRequests);
    server->slots = m_options.slots;
    if (cold)
        server->slowStart.begin(now);
    ++m_presentCount;
    m_leavingCount += spec.leaving;
    if (spec.leaving)
        server->drain.observeDraining(now, incarnationClock());
    syncChoice(*server);
    recordEvent(PoolEventKind::Added, *server);
}

void ServerPool::updateServer(Server& server, const ServerSpec& spec, Common::TimePoint now)
{
    if (server.spec == spec)
        return;
    auto wasLeaving = server.leaving();
    auto listedLeaving = server.spec.leaving;
    server.spec = spec;
    if (spec.leaving && server.drain.observeDraining(now, incarnationClock())) {
        queueHint(HintKind::Draining, server);
        recordEvent(PoolEventKind::Draining, server);
    }
    if (listedLeaving && !spec.leaving) {
        // The instance list lags, but its changes come in order: a server listed as live after it was leaving is a new process.
        server.drain.observeProcessGone();
        if (server.drain.observeLive(now, now + Common::Duration(1), incarnationClock())) {
            server.slowStart.begin(now);
            queueHint(HintKind::Live, server);
            recordEvent(PoolEventKind::Live, server);
        }
    }
    m_leavingCount += server.leaving() && !wasLeaving;
    m_leavingCount -= wasLeaving && !server.leaving();
    syncChoice(server);
}

void ServerPool::removeServer(Server& server)
{
    --m_presentCount;
    m_leavingCount -= server.leaving();
    server.present = false;
    m_ejected.erase({ server.ejection.until, server.id });
    server.ejection.ejected = false;
    syncChoice(server);
    recordEvent(PoolEventKind::Removed, server);
    if (server.openRequests.empty())
        m_servers.erase(std::string(server.spec.address));
}

void ServerPool::syncChoice(Server& server)
{
    auto inChoice = server.position != Server::noPosition;
    if (server.eligible() && !inChoice)
        m_choice.add(server, m_hooks);
    if (!server.eligible() && inChoice)
        m_choice.remove(server);
}

void ServerPool::recordEvent(PoolEventKind kind, const Server& server, std::optional<EjectionReason> reason)
{
    m_events.push_back({ .kind = kind, .server = server.spec.address, .reason = reason });
}

void ServerPool::queueHint(HintKind kind, const Server& server)
{
    m_hints.push_back({ .service = m_options.service, .server = server.spec.address, .kind = kind, .incarnation = server.drain.incarnation() });
}

}
