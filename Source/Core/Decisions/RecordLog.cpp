#include "Decisions/RecordLog.h"

namespace Decisions {

ApplyResult RecordLog::apply(const Records::RecordChange& change)
{
    if (change.revision <= m_revision)
        return ApplyResult::Ignored;
    if (change.revision > m_revision + 1)
        return ApplyResult::Gap;
    store(change);
    m_revision = change.revision;
    m_recentChanges.push_back(change);
    if (m_recentChanges.size() > m_maxRecentChanges)
        m_recentChanges.pop_front();
    return ApplyResult::Applied;
}

ApplyResult RecordLog::apply(const Records::RecordImage& image)
{
    if (image.revision <= m_revision)
        return ApplyResult::Ignored;
    for (const auto& record : image.records)
        store(record);
    m_revision = image.revision;
    m_recentChanges.clear();
    return ApplyResult::Applied;
}

ApplyResult RecordLog::apply(const Records::RecordUpdate& update)
{
    auto state = ApplyResult::Ignored;
    if (update.image && apply(*update.image) == ApplyResult::Applied)
        state = ApplyResult::Applied;
    for (const auto& change : update.changes) {
        auto applied = apply(change);
        if (applied == ApplyResult::Gap)
            return ApplyResult::Gap;
        if (applied == ApplyResult::Applied)
            state = ApplyResult::Applied;
    }
    return state;
}

Records::RecordUpdate RecordLog::updateSince(std::uint64_t since) const
{
    Records::RecordUpdate update { .since = since, .changes = {}, .image = {} };
    if (since >= m_revision)
        return update;
    if (m_recentChanges.empty() || m_recentChanges.front().revision > since + 1) {
        update.image = image();
        return update;
    }
    for (const auto& change : m_recentChanges) {
        if (change.revision > since)
            update.changes.push_back(change);
    }
    return update;
}

Records::RecordImage RecordLog::image() const
{
    Records::RecordImage image { .revision = m_revision, .records = {}, .unreadable = {} };
    for (const auto& [service, record] : m_records)
        image.records.push_back(record);
    return image;
}

// Records of an image may be newer than its revision. The changes that made them are then applied again later, and must not
// replace a newer record.
void RecordLog::store(const Records::RecordChange& change)
{
    auto& held = m_records[change.service];
    if (held.revision < change.revision)
        held = change;
}

}
