#include "Decisions/RecordSchedule.h"

#include <algorithm>

namespace Decisions {

RecordSchedule::RecordSchedule(RecordScheduleOptions options, Common::Hooks hooks)
    : m_options(options)
    , m_hooks(std::move(hooks))
    , m_readerPoll(m_hooks.now())
    , m_idlePoll(m_hooks.now() + jittered(m_options.idlePollInterval))
{
}

RecordTask RecordSchedule::next(bool reader, std::uint64_t held) const
{
    RecordTask poll { .action = RecordAction::Poll, .at = reader ? m_readerPoll : m_idlePoll };
    if (m_targetRevision <= held || poll.at <= m_targetAt)
        return poll;
    return { .action = m_targetAction, .at = m_targetAt };
}

void RecordSchedule::headAnnounced(std::uint64_t revision, std::uint64_t held)
{
    if (revision <= held || revision <= m_targetRevision)
        return;
    // A fetch already scheduled for an older revision keeps its time, or a stream of changes could postpone it for ever.
    if (m_targetRevision <= held) {
        m_targetAt = m_hooks.now() + jittered(m_options.pushGrace);
        m_targetAction = RecordAction::Fetch;
    }
    m_targetRevision = revision;
}

void RecordSchedule::pollFinished(bool answered, std::uint64_t head)
{
    constexpr int maxDoublings = 4;
    m_consecutiveFailures = answered ? 0 : std::min(m_consecutiveFailures + 1, maxDoublings);
    auto wait = std::min(m_options.pollInterval * (1 << m_consecutiveFailures), std::max(m_options.maxBackOff, m_options.pollInterval));
    m_readerPoll = m_hooks.now() + jittered(wait);
    m_idlePoll = m_hooks.now() + jittered(m_options.idlePollInterval);
    // After the store, the next try is at a peer again.
    if (m_targetAction == RecordAction::Poll) {
        m_targetAt = m_hooks.now() + jittered(wait);
        m_targetAction = RecordAction::Fetch;
    }
    // A revision announced before the poll that the store does not have exists nowhere: the announcement was wrong.
    if (answered && head < m_targetRevision && m_targetRevision == m_targetBeforePoll)
        m_targetRevision = head;
}

void RecordSchedule::fetchFinished(bool helped)
{
    m_targetAt = m_hooks.now() + jittered(helped ? m_options.pushGrace : m_options.storeGrace);
    m_targetAction = helped ? RecordAction::Fetch : RecordAction::Poll;
}

Common::Duration RecordSchedule::jittered(Common::Duration duration) const
{
    return std::chrono::duration_cast<Common::Duration>(duration * (0.5 + Common::randomUnit(m_hooks)));
}

}
