#include "Decisions/RecordLog.h"

namespace Decisions {

ApplyState RecordLog::apply(const Records::RecordChange& change)
{
    if (change.revision <= m_revision)
        return ApplyState::Ignored;
    if (change.revision > m_revision + 1)
        return ApplyState::Gap;
    keep(change);
    m_revision = change.revision;
    m_recent.push_back(change);
    if (m_recent.size() > m_recentLimit)
        m_recent.pop_front();
    return ApplyState::Applied;
}

ApplyState RecordLog::apply(const Records::RecordImage& image)
{
    if (image.revision <= m_revision)
        return ApplyState::Ignored;
    for (const auto& record : image.records)
        keep(record);
    m_revision = image.revision;
    m_recent.clear();
    return ApplyState::Applied;
}

ApplyState RecordLog::apply(const Records::RecordUpdate& update)
{
    auto state = ApplyState::Ignored;
    if (update.image && apply(*update.image) == ApplyState::Applied)
        state = ApplyState::Applied;
    for (const auto& change : update.changes) {
        auto applied = apply(change);
        if (applied == ApplyState::Gap)
            return ApplyState::Gap;
        if (applied == ApplyState::Applied)
            state = ApplyState::Applied;
    }
    return state;
}

Records::RecordUpdate RecordLog::updateSince(std::uint64_t since) const
{
    Records::RecordUpdate update { .since = since, .changes = {}, .image = {} };
    if (since >= m_revision)
        return update;
    if (m_recent.empty() || m_recent.front().revision > since + 1) {
        update.image = image();
        return update;
    }
    for (const auto& change : m_recent) {
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

// An image's rows may be newer than its revision; the changes that made them then come a second time.
void RecordLog::keep(const Records::RecordChange& change)
{
    auto& held = m_records[change.service];
    if (held.revision < change.revision)
        held = change;
}

}
