#include "Gateway/PeerGateways.h"

#include <algorithm>
#include <utility>

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
    // For which a gateway that has refused is asked again only after all that have not.
    constexpr auto refusalMemory = std::chrono::seconds(10);
    // Bounds the search while no gateway reaches the service.
    constexpr std::size_t maxAvoided = 32;
    // The same while no gateway can authenticate callers. Fewer, since an outage of the store takes all gateways of the fleet at once, and
    // members tell most of those that can't, as these are not ready.
    constexpr std::size_t maxAvoidedForAuthentication = 16;
    // For which a gateway that has answered counts as one that reaches the service.
    constexpr auto answerMemory = std::chrono::seconds(2);
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

BackendOptions PeerGateways::optionsFor(PeerNeed need, const std::string& service) const
{
    return {
        .headers = &m_options.headers,
        .healthPath = std::string(need == PeerNeed::Servers ? peerProbePath : authenticationProbePath) + "?" + peerProbeService + "=" + Net::percentEncoded(service),
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

// Where a few gateways of the own failure domain have lost the service, the others of it probably have too.
bool PeerGateways::isOwnDomainLost(const Pool& pool) const
{
    auto lost = std::count_if(pool.refusals.begin(), pool.refusals.end(), [&](const auto& it) { return it.second.isOfOwnDomain && isAvoided(it.second); });
    return static_cast<std::size_t>(lost) >= maxChosenOfOwnDomain;
}

void PeerGateways::fill(Pool& pool, PeerNeed need, const std::string& service)
{
    pool.filledAt = m_loop.now();
    std::vector<Member> own;
    std::vector<Member> others;
    for (auto& member : m_members.forwardingTargets(m_loop.now())) {
        auto isChosen = std::any_of(pool.chosen.begin(), pool.chosen.end(), [&](const auto& it) { return it->record().id == member.control; });
        auto it = pool.refusals.find(member.control);
        if (!isChosen && (it == pool.refusals.end() || !isAvoided(it->second)))
            (member.failureDomain == m_options.failureDomain ? own : others).push_back(std::move(member));
    }
    auto refusedAt = [&](const Member& it) {
        auto found = pool.refusals.find(it.control);
        return found == pool.refusals.end() ? Common::TimePoint::min() : found->second.at;
    };
    for (auto* members : { &own, &others }) {
        shuffle(*members, m_loop.hooks());
        // Those that refused longest ago first, so that a search in a large domain comes round.
        std::stable_sort(members->begin(), members->end(), [&](const auto& a, const auto& b) { return refusedAt(a) < refusedAt(b); });
    }
    auto ownDomainLost = isOwnDomainLost(pool);
    auto ownCount = static_cast<std::size_t>(std::count_if(pool.chosen.begin(), pool.chosen.end(), [&](const auto& it) { return isOfOwnDomain(*it); }));
    auto fromOwn = ownDomainLost ? 0 : std::min(own.size(), maxChosenOfOwnDomain - std::min(ownCount, maxChosenOfOwnDomain));
    others.insert(others.begin(), own.begin(), own.begin() + static_cast<std::ptrdiff_t>(fromOwn));
    if (!ownDomainLost || (others.empty() && pool.chosen.empty()))
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
        pool.chosen.push_back(std::make_shared<Backend>(m_loop, record, optionsFor(need, service)));
    }
}

std::vector<std::shared_ptr<Backend>> PeerGateways::candidates(PeerNeed need, const std::string& service)
{
    auto now = m_loop.now();
    auto& pool = m_pools[{ need, service }];
    pool.usedAt = now;
    std::erase_if(pool.refusals, [&](const auto& it) { return now - it.second.at >= refusalMemory; });
    std::erase_if(pool.chosen, [&](const auto& it) { return !isUsable(*it); });
    auto isDue = pool.chosen.empty() || (pool.chosen.size() < maxChosen && now - pool.filledAt > fillInterval);
    auto avoided = static_cast<std::size_t>(std::count_if(pool.refusals.begin(), pool.refusals.end(), [&](const auto& it) { return isAvoided(it.second); }));
    if (isDue && avoided < (need == PeerNeed::Servers ? maxAvoided : maxAvoidedForAuthentication))
        fill(pool, need, service);
    std::vector<std::shared_ptr<Backend>> picked;
    auto pickOneOf = [&](std::vector<std::shared_ptr<Backend>>& from) {
        auto& chosen = from[Common::randomBelow(m_loop.hooks(), from.size())];
        picked.push_back(std::exchange(chosen, from.back()));
        from.pop_back();
    };
    auto remaining = pool.chosen;
    auto firstUnproven = std::partition(remaining.begin(), remaining.end(), [&](const auto& it) { return isProven(*it); });
    std::vector<std::shared_ptr<Backend>> proven(remaining.begin(), firstUnproven);
    remaining.erase(remaining.begin(), firstUnproven);
    if (!proven.empty())
        pickOneOf(proven);
    remaining.insert(remaining.end(), proven.begin(), proven.end());
    while (picked.size() < probesPerRequest && !remaining.empty())
        pickOneOf(remaining);
    return picked;
}

bool PeerGateways::isAvoided(const Refusal& refusal) const
{
    return m_loop.now() - refusal.at < avoidPeriod;
}

bool PeerGateways::isProven(const Backend& peer) const
{
    auto age = peer.reportAge(m_loop.now());
    return age && *age <= answerMemory;
}

void PeerGateways::probe(PeerNeed need, const std::shared_ptr<Backend>& peer, Common::Duration timeout, const std::function<void(const ProbeAnswer&)>& done)
{
    std::weak_ptr<Backend> weak = peer;
    peer->probe(timeout, [this, need, weak, done](const ProbeAnswer& answer) {
        auto asked = weak.lock();
        if (asked && !answer.healthy)
            avoid(need, *asked);
        done(answer);
    });
}

void PeerGateways::avoid(PeerNeed need, const Backend& peer)
{
    auto it = m_pools.find({ need, peer.record().service });
    if (it == m_pools.end())
        return;
    it->second.refusals[peer.record().id] = { .at = m_loop.now(), .isOfOwnDomain = isOfOwnDomain(peer) };
    std::erase_if(it->second.chosen, [&](const auto& chosen) { return chosen->record().id == peer.record().id; });
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
    for (const auto& [key, pool] : m_pools) {
        for (const auto& peer : pool.chosen)
            peer->closeIdleConnections(m_loop.now());
    }
}

}
