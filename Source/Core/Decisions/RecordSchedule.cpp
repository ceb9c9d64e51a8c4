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
    if (m_wanted <= held || poll.at <= m_wantedAt)
        return poll;
    return { .action = m_wantedFrom, .at = m_wantedAt };
}

void RecordSchedule::headSeen(std::uint64_t revision, std::uint64_t held)
{
    if (revision <= held || revision <= m_wanted)
        return;
    // A fetch under way for an older head keeps its time: a stream of changes must not put it off for ever.
    if (m_wanted <= held) {
        m_wantedAt = m_hooks.now() + jittered(m_options.pushGrace);
        m_wantedFrom = RecordAction::Fetch;
    }
    m_wanted = revision;
}

void RecordSchedule::polled(bool answered, std::uint64_t head)
{
    constexpr int maxDoublings = 4;
    m_failures = answered ? 0 : std::min(m_failures + 1, maxDoublings);
    auto wait = std::min(m_options.pollInterval * (1 << m_failures), std::max(m_options.maxBackOff, m_options.pollInterval));
    m_readerPoll = m_hooks.now() + jittered(wait);
    m_idlePoll = m_hooks.now() + jittered(m_options.idlePollInterval);
    if (m_wantedFrom == RecordAction::Poll) {
        m_wantedAt = m_hooks.now() + jittered(wait);
        m_wantedFrom = RecordAction::Fetch;
    }
    // What the store does not have, nobody has: a message told a head that never was.
    if (answered && head < m_wanted && m_wanted == m_wantedBeforePoll)
        m_wanted = head;
}

void RecordSchedule::fetched(bool helped)
{
    m_wantedAt = m_hooks.now() + jittered(helped ? m_options.pushGrace : m_options.storeGrace);
    m_wantedFrom = helped ? RecordAction::Fetch : RecordAction::Poll;
}

Common::Duration RecordSchedule::jittered(Common::Duration duration) const
{
    return std::chrono::duration_cast<Common::Duration>(duration * (0.5 + Common::randomUnit(m_hooks)));
}

}
