#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Platform/Platform.h"

namespace Fakes {

// What becomes of one exchange with the table.
enum class TableFault {
    None,
    Down, // no effect, no answer
    AnswerLost, // takes effect, no answer
    Late, // no answer, takes effect at landLate() if its conditions still hold
};

// The platform's table in memory, with faults chosen by a hook for each exchange.
class FakeTable {
public:
    std::function<TableFault(bool write)> fault = [](bool) { return TableFault::None; };
    std::map<std::string, Platform::Row> rows;
    int reads = 0;

    Platform::Table table()
    {
        return {
            .get = [this](const std::string& key) { return get(key); },
            .scan = [this](const Platform::Range& range) { return scan(range); },
            .commit = [this](const Platform::Transaction& transaction) { return commit(transaction); },
        };
    }

    std::size_t lateCount() const { return m_late.size(); }

    void landLate()
    {
        auto late = std::move(m_late);
        m_late.clear();
        for (const auto& transaction : late)
            apply(transaction);
    }

private:
    static Common::Error unavailable() { return { Common::ResultCode::StoreUnavailable, "down" }; }

    Common::Result<Platform::Row> get(const std::string& key)
    {
        ++reads;
        if (fault(false) != TableFault::None)
            return unavailable();
        auto it = rows.find(key);
        return it == rows.end() ? Platform::Row { .key = key, .value = {}, .version = 0 } : it->second;
    }

    Common::Result<std::vector<Platform::Row>> scan(const Platform::Range& range)
    {
        ++reads;
        if (fault(false) != TableFault::None)
            return unavailable();
        std::vector<Platform::Row> found;
        for (auto it = rows.upper_bound(std::max(range.prefix, range.after)); it != rows.end() && it->first.starts_with(range.prefix); ++it) {
            if (found.size() == static_cast<std::size_t>(range.limit))
                break;
            found.push_back(it->second);
        }
        return found;
    }

    Common::Result<Platform::TransactionResult> commit(const Platform::Transaction& transaction)
    {
        auto what = fault(true);
        if (what == TableFault::Late)
            m_late.push_back(transaction);
        if (what == TableFault::Down || what == TableFault::Late)
            return unavailable();
        auto answer = apply(transaction);
        if (what == TableFault::AnswerLost)
            return unavailable();
        return answer;
    }

    Platform::TransactionResult apply(const Platform::Transaction& transaction)
    {
        Platform::TransactionResult answer { .committed = true, .found = {} };
        for (const auto& condition : transaction.conditions) {
            auto it = rows.find(condition.key);
            auto version = it == rows.end() ? 0 : it->second.version;
            answer.found.push_back({ condition.key, version });
            answer.committed = answer.committed && version == condition.version;
        }
        if (!answer.committed)
            return answer;
        ++m_lastVersion;
        for (const auto& write : transaction.writes) {
            if (write.value)
                rows[write.key] = { .key = write.key, .value = *write.value, .version = m_lastVersion };
            else
                rows.erase(write.key);
        }
        return { .committed = true, .found = {} };
    }

    std::vector<Platform::Transaction> m_late;
    std::uint64_t m_lastVersion = 0;
};

}
