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

CarrierShares::CarrierShares(CarrierSharesOptions options)
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
    auto& budgetShare = m_budgetShares.try_emplace(service, BudgetShare { .since = now, .windowStart = now }).first->second;
    recordCount(budgetShare, static_cast<int>(holders.size()));
    if (holds && !budgetShare.holds)
        budgetShare.since = now;
    budgetShare.holds = holds;
    auto settled = holds && now - budgetShare.since >= m_options.settlingTime;
    return {
        .carries = std::any_of(carriers.begin(), carriers.end(), isSelf),
        .carriers = std::max(1, static_cast<int>(carriers.size())),
        .maxRecentCarriers = settled ? std::max({ 1, budgetShare.windowMax, budgetShare.previousWindowMax }) : CarrierShare::noBudgetShare,
        .liveEntries = std::max(1, static_cast<int>(live.size())),
    };
}

bool CarrierShares::isSettling() const
{
    auto now = m_options.hooks.now();
    return std::any_of(m_budgetShares.begin(), m_budgetShares.end(),
        [&](const auto& item) { return item.second.holds && now - item.second.since < m_options.settlingTime; });
}

void CarrierShares::recordCount(BudgetShare& budgetShare, int count) const
{
    auto now = m_options.hooks.now();
    if (now - budgetShare.windowStart >= m_options.window) {
        budgetShare.previousWindowMax = budgetShare.windowMax;
        budgetShare.windowMax = 0;
        budgetShare.windowStart = now;
    }
    budgetShare.windowMax = std::max(budgetShare.windowMax, count);
}

}
