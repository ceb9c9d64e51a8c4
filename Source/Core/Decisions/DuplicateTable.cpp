#include "Decisions/DuplicateTable.h"

namespace Decisions {

namespace {

    std::size_t bytesOf(const RememberedAnswer& answer)
    {
        auto bytes = answer.body.size();
        for (const auto& [name, value] : answer.headers)
            bytes += name.size() + value.size();
        return bytes;
    }

}

DuplicateTable::DuplicateTable(DuplicateOptions options)
    : m_options(options)
{
}

DuplicateAnswer DuplicateTable::begin(const std::string& key, std::uint64_t fingerprint, Common::TimePoint now)
{
    evict(now);
    auto [it, isNew] = m_entries.try_emplace(key, Entry { .fingerprint = fingerprint, .expiresAt = {}, .answer = {} });
    const auto& entry = it->second;
    if (isNew)
        return { .action = DuplicateAction::Start, .remembered = {} };
    if (entry.fingerprint != fingerprint)
        return { .action = DuplicateAction::Mismatch, .remembered = {} };
    if (entry.inFlight)
        return { .action = DuplicateAction::Join, .remembered = {} };
    if (entry.answer->whole)
        return { .action = DuplicateAction::Replay, .remembered = entry.answer };
    return { .action = DuplicateAction::Refuse, .remembered = {} };
}

void DuplicateTable::remember(const std::string& key, RememberedAnswer answer, Common::TimePoint now)
{
    auto it = m_entries.find(key);
    if (it == m_entries.end() || !it->second.inFlight)
        return;
    if (answer.whole && bytesOf(answer) > m_options.answerBytes)
        answer = {};
    auto& entry = it->second;
    entry.inFlight = false;
    entry.expiresAt = now + m_options.keep;
    entry.bytes = bytesOf(answer);
    entry.answer = std::make_shared<const RememberedAnswer>(std::move(answer));
    m_bytes += entry.bytes;
    m_finished.push_back(key);
    evict(now);
}

void DuplicateTable::forget(const std::string& key)
{
    auto it = m_entries.find(key);
    if (it != m_entries.end() && it->second.inFlight)
        m_entries.erase(it);
}

void DuplicateTable::evict(Common::TimePoint now)
{
    // Only finished requests are bounded here; those in flight are bounded by the callers' connections.
    while (!m_finished.empty()
        && (m_finished.size() > m_options.entries || m_bytes > m_options.bytes || m_entries.at(m_finished.front()).expiresAt <= now))
        evictOldest();
}

void DuplicateTable::evictOldest()
{
    auto it = m_entries.find(m_finished.front());
    m_bytes -= it->second.bytes;
    m_entries.erase(it);
    m_finished.pop_front();
}

}
