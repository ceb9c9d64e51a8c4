#include "Decisions/Carriers.h"

#include <algorithm>
#include <bit>
#include <tuple>

#include "Common/Hash.h"

namespace Decisions {

int carriersPerDomain(const CarrierRule& rule, std::size_t backendServers)
{
    auto wanted = std::max<std::size_t>(1, backendServers / static_cast<std::size_t>(rule.serversPerCarrier));
    return std::max(rule.minPerDomain, static_cast<int>(std::bit_ceil(wanted)));
}

std::vector<MemberRecord> chooseCarriers(const std::string& service, int perDomain, std::span<const MemberRecord> entries)
{
    struct Ranked {
        const MemberRecord* entry;
        std::uint64_t weight;
    };
    std::map<std::string, std::vector<Ranked>> domains;
    auto seed = Common::hash(service);
    for (const auto& entry : entries)
        domains[entry.failureDomain].push_back({ &entry, Common::hash(entry.peerAddress, seed) });
    std::vector<MemberRecord> chosen;
    for (auto& [domain, ranked] : domains) {
        std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
            return std::tie(b.weight, a.entry->peerAddress) < std::tie(a.weight, b.entry->peerAddress);
        });
        auto count = std::min(ranked.size(), static_cast<std::size_t>(perDomain));
        for (std::size_t i = 0; i < count; ++i)
            chosen.push_back(*ranked[i].entry);
    }
    std::sort(chosen.begin(), chosen.end(), [](const auto& a, const auto& b) { return a.peerAddress < b.peerAddress; });
    return chosen;
}

CarrierShares::CarrierShares(SharesOptions options)
    : m_options(std::move(options))
{
}

CarrierShare CarrierShares::update(const std::string& service, int perDomain, std::span<const MemberRecord> live, std::span<const MemberRecord> known)
{
    auto isSelf = [&](const MemberRecord& entry) { return entry.peerAddress == m_options.self; };
    auto carriers = chooseCarriers(service, perDomain, live);
    auto holders = chooseCarriers(service, perDomain, known);
    auto now = m_options.hooks.now();
    auto holds = std::any_of(holders.begin(), holders.end(), isSelf);
    auto& holding = m_services.try_emplace(service, Holding { .since = now, .windowStart = now }).first->second;
    noteCount(holding, static_cast<int>(holders.size()));
    if (holds && !holding.holds)
        holding.since = now;
    holding.holds = holds;
    auto settled = holds && now - holding.since >= m_options.settling;
    return {
        .carries = std::any_of(carriers.begin(), carriers.end(), isSelf),
        .carriers = std::max(1, static_cast<int>(carriers.size())),
        .mostCarriers = settled ? std::max({ 1, holding.most, holding.mostBefore }) : CarrierShare::noShare,
        .liveEntries = std::max(1, static_cast<int>(live.size())),
    };
}

bool CarrierShares::settling() const
{
    auto now = m_options.hooks.now();
    return std::any_of(m_services.begin(), m_services.end(), [&](const auto& item) { return item.second.holds && now - item.second.since < m_options.settling; });
}

void CarrierShares::noteCount(Holding& holding, int count) const
{
    auto now = m_options.hooks.now();
    if (now - holding.windowStart >= m_options.window) {
        holding.mostBefore = holding.most;
        holding.most = 0;
        holding.windowStart = now;
    }
    holding.most = std::max(holding.most, count);
}

}
