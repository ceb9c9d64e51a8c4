#include "Bench/Ledger.h"

#include <algorithm>

#include "Common/Hash.h"

namespace Bench {

void Ledger::ran(const std::string& id, const Run& run)
{
    auto& target = shard(id);
    std::lock_guard lock(target.mutex);
    target.runs[id].push_back(run);
}

void Ledger::probed(const std::string& service, Common::TimePoint at)
{
    std::lock_guard lock(m_mutex);
    m_probes[service].push_back(at);
}

void Ledger::signedOff(int server, Common::TimePoint at)
{
    std::lock_guard lock(m_mutex);
    m_leaving.emplace(server, at);
}

std::vector<Run> Ledger::runs(const std::string& id) const
{
    auto& target = shard(id);
    std::lock_guard lock(target.mutex);
    auto it = target.runs.find(id);
    return it == target.runs.end() ? std::vector<Run> {} : it->second;
}

std::vector<Run> Ledger::allRuns() const
{
    std::vector<Run> all;
    for (auto& target : m_shards) {
        std::lock_guard lock(target.mutex);
        for (const auto& [id, runs] : target.runs)
            all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
}

std::vector<Common::TimePoint> Ledger::probes(const std::string& service) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_probes.find(service);
    auto times = it == m_probes.end() ? std::vector<Common::TimePoint> {} : it->second;
    std::sort(times.begin(), times.end());
    return times;
}

std::map<int, Common::TimePoint> Ledger::leaving() const
{
    std::lock_guard lock(m_mutex);
    return m_leaving;
}

Ledger::Shard& Ledger::shard(const std::string& id) const
{
    return m_shards[Common::hash(id) % shardCount];
}

}
