#include "Records/RecordWrite.h"

#include <algorithm>

#include <fmt/format.h>

namespace Records {

RecordWrite::RecordWrite(RecordWriteOptions options, Platform::Table table, WriteRequest request)
    : m_options(std::move(options))
    , m_table(std::move(table))
    , m_request(std::move(request))
{
    m_answer.nonce = fmt::format("{:016x}{:016x}", m_options.hooks.random(), m_options.hooks.random());
}

std::optional<Common::Duration> RecordWrite::step()
{
    if (!m_deadline)
        m_deadline = m_options.hooks.now() + m_options.limit;
    switch (m_phase) {
    case Phase::Read:
        return read();
    case Phase::Commit:
        return commit();
    case Phase::Settle:
        return settle();
    }
    return std::nullopt;
}

std::optional<Common::Duration> RecordWrite::read()
{
    // The head first: a change between the two reads then fails the condition on the head.
    auto head = readHead(m_table);
    if (!head)
        return backOff(Phase::Read, head.error().text);
    auto record = readRecord(m_table, m_request.service);
    if (!record)
        return backOff(Phase::Read, record.error().text);
    if (refuse(record.value().change))
        return std::nullopt;
    prepare(head.value(), record.value());
    m_phase = Phase::Commit;
    return Common::Duration::zero();
}

bool RecordWrite::refuse(const std::optional<RecordChange>& found)
{
    auto inForce = found && !found->retired();
    auto wanted = m_request.kind != ChangeKind::Put;
    auto asExpected = inForce == wanted && (!inForce || found->revision == m_request.expect);
    if (asExpected)
        return false;
    m_answer.found = found;
    finish(wanted && !inForce ? WriteState::NotFound : WriteState::Conflict);
    return true;
}

void RecordWrite::prepare(const Head& head, const RecordRow& record)
{
    m_change = {
        .revision = head.revision + 1,
        .previous = record.change ? record.change->revision : 0,
        .kind = m_request.kind,
        .service = m_request.service,
        .by = m_request.by,
        .nonce = m_answer.nonce,
        .wallMs = m_options.wallMs(),
        .forms = m_request.forms,
    };
    m_answer.revision = m_change.revision;
    m_transaction = changeTransaction(head, record, m_change);
}

std::optional<Common::Duration> RecordWrite::commit()
{
    auto answer = m_table.commit(m_transaction);
    if (!answer) {
        // Any error leaves open whether the write took effect, or still will.
        m_mayStand = true;
        return backOff(Phase::Settle, answer.error().text);
    }
    if (answer.value().committed)
        return finish(WriteState::Applied);
    if (m_mayStand) {
        m_phase = Phase::Settle;
        return Common::Duration::zero();
    }
    return backOff(Phase::Read, "other changes were first");
}

std::optional<Common::Duration> RecordWrite::settle()
{
    auto head = readHead(m_table);
    if (!head)
        return backOff(Phase::Settle, head.error().text);
    auto change = readChange(m_table, m_change.revision);
    if (!change)
        return backOff(Phase::Settle, change.error().text);
    if (change.value() && change.value()->nonce == m_change.nonce)
        return finish(WriteState::Applied);
    if (change.value()) {
        // Another change took the revision: the head moved on, and no copy of ours can land any more.
        m_mayStand = false;
        return backOff(Phase::Read, "other changes were first");
    }
    if (head.value().revision >= m_change.revision)
        return settleTrimmed();
    // Not there yet, but a copy may be under way. The same transaction again is safe: the first copy to land moves the
    // head, and all others fail their condition.
    return backOff(Phase::Commit, "the answer to the write was lost");
}

// The change row of our revision was trimmed: only the record's own row can tell.
std::optional<Common::Duration> RecordWrite::settleTrimmed()
{
    auto record = readRecord(m_table, m_request.service);
    if (!record)
        return backOff(Phase::Settle, record.error().text);
    const auto& found = record.value().change;
    if (found && found->nonce == m_change.nonce)
        return finish(WriteState::Applied);
    if (found && found->revision > m_change.revision)
        return finish(WriteState::Unsettled);
    m_mayStand = false;
    return backOff(Phase::Read, "other changes were first");
}

std::optional<Common::Duration> RecordWrite::finish(WriteState state)
{
    m_answer.state = state;
    return std::nullopt;
}

std::optional<Common::Duration> RecordWrite::backOff(Phase phase, const std::string& text)
{
    constexpr int maxDoublings = 8;
    m_phase = phase;
    m_answer.text = text;
    auto longest = std::min(m_options.maxBackOff, m_options.firstBackOff * (1 << std::min(m_tries++, maxDoublings)));
    auto wait = std::chrono::duration_cast<Common::Duration>(longest * (0.5 + 0.5 * Common::randomUnit(m_options.hooks)));
    if (m_options.hooks.now() + wait < *m_deadline)
        return wait;
    return finish(m_mayStand ? WriteState::Unsettled : WriteState::Unavailable);
}

WriteAnswer writeRecord(const RecordWriteOptions& options, const Platform::Table& table, const WriteRequest& request)
{
    RecordWrite write(options, table, request);
    while (auto wait = write.step())
        options.sleep(*wait);
    return write.answer();
}

}
