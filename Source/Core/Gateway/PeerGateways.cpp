#include "Gateway/PeerGateways.h"

#include <algorithm>

#include "Gateway/ForwardedRequest.h"

namespace Gateway {

namespace {

    // Gateways that are probed for one request.
    constexpr std::size_t probesPerRequest = 2;
    // Gateways used for a service, those of the own failure domain first: traffic within it is cheaper. A whole domain may have lost its
    // servers, so some are of other domains.
    constexpr std::size_t maxChosen = 6;
    constexpr std::size_t maxChosenOfOwnDomain = 3;
    // Minimum interval between two searches for further gateways, unless there is none left.
    constexpr auto fillInterval = std::chrono::milliseconds(100);
    // For which a gateway that does not answer, or does not reach the service, gets no requests.
    constexpr auto avoidPeriod = std::chrono::seconds(1);
    // Bounds the probes while no gateway reaches the service.
    constexpr std::size_t maxAvoided = 32;
    // Connections are closed when no request has been forwarded for this long.
    constexpr auto unusedPeriod = std::chrono::seconds(10);
    constexpr int connectionsPerGateway = 8;

    void shuffle(std::vector<Member>& members, const Common::Hooks& hooks)
    {
        for (std::size_t i = members.size(); i > 1; --i)
            std::swap(members[i - 1], members[Common::randomBelow(hooks, i)]);
    }

}

PeerGateways::PeerGateways(Net::EventLoop& loop, const Members& members, PeerGatewaysOptions options)
    : m_loop(loop)
    , m_members(members)
    , m_options(std::move(options))
{
}

BackendOptions PeerGateways::optionsFor(const std::string& service) const
{
    return {
        .headers = &m_options.headers,
        .healthPath = std::string(peerProbePath) + "?" + peerProbeService + "=" + Net::percentEncoded(service),
        .failureDomain = m_options.failureDomain,
        .maxConnections = connectionsPerGateway,
        .client = m_options.client,
    };
}

bool PeerGateways::isUsable(const Backend& backend) const
{
    const auto* member = m_members.find(backend.record().id);
    return member && member->serving && member->forwarding == backend.record().address && member->startedMs == backend.record().startedMs && backend.isUsable();
}

void PeerGateways::fill(Pool& pool, const std::string& service)
{
    pool.filledAt = m_loop.now();
    std::vector<Member> own;
    std::vector<Member> others;
    for (auto& member : m_members.forwardingTargets(m_loop.now())) {
        auto isChosen = std::any_of(pool.chosen.begin(), pool.chosen.end(), [&](const auto& it) { return it->record().id == member.control; });
        if (!isChosen && !pool.avoidUntil.contains(member.control))
            (member.failureDomain == m_options.failureDomain ? own : others).push_back(std::move(member));
    }
    shuffle(own, m_loop.hooks());
    shuffle(others, m_loop.hooks());
    auto ownCount = static_cast<std::size_t>(std::count_if(pool.chosen.begin(), pool.chosen.end(), [&](const auto& it) { return it->record().failureDomain == m_options.failureDomain; }));
    auto fromOwn = std::min(own.size(), maxChosenOfOwnDomain - std::min(ownCount, maxChosenOfOwnDomain));
    others.insert(others.begin(), own.begin(), own.begin() + static_cast<std::ptrdiff_t>(fromOwn));
    others.insert(others.end(), own.begin() + static_cast<std::ptrdiff_t>(fromOwn), own.end());
    for (const auto& member : others) {
        if (pool.chosen.size() >= maxChosen)
            return;
        ServerRecord record {
            .id = member.control,
            .service = service,
            .address = member.forwarding,
            .failureDomain = member.failureDomain,
            .startedMs = member.startedMs,
        };
        pool.chosen.push_back(std::make_shared<Backend>(m_loop, record, optionsFor(service)));
    }
}

std::vector<std::shared_ptr<Backend>> PeerGateways::candidates(const std::string& service)
{
    auto now = m_loop.now();
    auto& pool = m_pools[service];
    pool.usedAt = now;
    std::erase_if(pool.avoidUntil, [&](const auto& it) { return now >= it.second; });
    if (pool.avoidUntil.size() >= maxAvoided)
        return {};
    std::erase_if(pool.chosen, [&](const auto& it) { return !isUsable(*it) || pool.avoidUntil.contains(it->record().id); });
    if (pool.chosen.empty() || (pool.chosen.size() < maxChosen && now - pool.filledAt > fillInterval))
        fill(pool, service);
    auto picked = pool.chosen;
    for (std::size_t i = 0; i + 1 < picked.size() && i < probesPerRequest; ++i)
        std::swap(picked[i], picked[i + Common::randomBelow(m_loop.hooks(), picked.size() - i)]);
    if (picked.size() > probesPerRequest)
        picked.resize(probesPerRequest);
    return picked;
}

void PeerGateways::probe(const std::shared_ptr<Backend>& peer, Common::Duration timeout, const std::function<void(const ProbeAnswer&)>& done)
{
    std::weak_ptr<Backend> weak = peer;
    peer->probe(timeout, [this, weak, done](const ProbeAnswer& answer) {
        auto asked = weak.lock();
        if (asked && !answer.healthy)
            avoid(*asked);
        done(answer);
    });
}

void PeerGateways::avoid(const Backend& peer)
{
    auto it = m_pools.find(peer.record().service);
    if (it != m_pools.end())
        it->second.avoidUntil[peer.record().id] = m_loop.now() + avoidPeriod;
}

Decisions::PeerSignal PeerGateways::signal(const Backend& peer) const
{
    auto load = peer.signal(m_loop.now());
    const auto* member = m_members.find(peer.record().id);
    return {
        .inFlight = load.running + load.unreported,
        .capacity = member ? member->capacity : 1,
        .sameDomain = load.sameDomain,
    };
}

void PeerGateways::closeIdleConnections()
{
    std::erase_if(m_pools, [&](const auto& it) { return m_loop.now() - it.second.usedAt > unusedPeriod; });
    for (const auto& [service, pool] : m_pools) {
        for (const auto& peer : pool.chosen)
            peer->closeIdleConnections(m_loop.now());
    }
}

}
