#include "Controllers/RecordController.h"

#include "Records/RecordForms.h"
#include "Records/RecordStore.h"

namespace Controllers {

using Common::EventId;

RecordController::RecordController(Platform::Table table, Common::EventLog& log, int newestSchema)
    : m_table(std::move(table))
    , m_log(log)
    , m_newestSchema(newestSchema)
{
}

Common::Result<bool> RecordController::poll()
{
    auto update = readStore();
    if (!update)
        return update.error();
    return offer(update.value()) == Decisions::ApplyResult::Applied;
}

// The change log from what is held, or everything when the log does not reach back.
Common::Result<Records::RecordUpdate> RecordController::readStore() const
{
    auto held = current()->revision;
    auto head = Records::readHead(m_table);
    if (!head)
        return head.error();
    if (head.value().revision <= held)
        return Records::RecordUpdate { .since = held, .changes = {}, .image = {} };
    if (held > 0) {
        auto changes = Records::readChanges(m_table, held);
        if (!changes)
            return changes.error();
        if (changes.value() && !changes.value()->empty())
            return Records::RecordUpdate { .since = held, .changes = std::move(*changes.value()), .image = {} };
    }
    auto image = Records::readImage(m_table);
    if (!image)
        return image.error();
    for (const auto& key : image.value().unreadable)
        m_log.log(EventId::RecordRejected, { { "key", key }, { "error", "not of the records' layout" } });
    return Records::RecordUpdate { .since = held, .changes = {}, .image = std::move(image).value() };
}

Decisions::ApplyResult RecordController::offer(const Records::RecordUpdate& update)
{
    std::lock_guard lock(m_mutex);
    auto before = m_held.revision();
    auto state = m_held.apply(update);
    if (m_held.revision() > before)
        publish();
    return state;
}

Records::RecordUpdate RecordController::updateSince(std::uint64_t since) const
{
    std::lock_guard lock(m_mutex);
    return m_held.updateSince(since);
}

Records::RecordImage RecordController::image() const
{
    std::lock_guard lock(m_mutex);
    return m_held.image();
}

void RecordController::publish()
{
    auto next = std::make_shared<Records::RecordSet>(*m_records.get());
    next->revision = m_held.revision();
    for (const auto& [service, change] : m_held.records()) {
        auto& published = m_published[service];
        if (published == change.revision)
            continue;
        published = change.revision;
        publishRecord(*next, change);
    }
    m_log.log(EventId::RecordApplied, { { "revision", std::to_string(next->revision) }, { "services", std::to_string(next->services.size()) } });
    m_records.set(std::move(next));
}

void RecordController::publishRecord(Records::RecordSet& set, const Records::RecordChange& change)
{
    set.notUnderstood.erase(change.service);
    if (change.retired()) {
        set.services.erase(change.service);
        return;
    }
    auto choice = Records::chooseForm(change.forms, change.service, m_newestSchema);
    if (choice.record) {
        set.services[change.service] = std::make_shared<const Records::ServiceRecord>(std::move(*choice.record));
        return;
    }
    set.notUnderstood.insert(change.service);
    std::vector<Common::EventField> fields { { "service", change.service }, { "revision", std::to_string(change.revision) } };
    if (!choice.errors.empty())
        fields.push_back({ "error", Common::describe(choice.errors.front()) });
    m_log.log(choice.understood ? EventId::RecordRejected : EventId::RecordNotUnderstood, std::move(fields));
}

}
