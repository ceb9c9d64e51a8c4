#include "Controllers/RecordSync.h"

#include <algorithm>

#include "Records/RecordChange.h"

namespace Controllers {

namespace {

    using Common::EventId;
    using Decisions::ApplyResult;
    using Decisions::RecordAction;

    constexpr auto snapshotKey = "records/snapshot";

    std::uint64_t lastRevision(const Records::RecordUpdate& update)
    {
        auto last = update.image ? update.image->revision : 0;
        return update.changes.empty() ? last : std::max(last, update.changes.back().revision);
    }

}

RecordSync::RecordSync(RecordSyncOptions options, Platform::Services platform, RecordController& records, Common::EventLog& log)
    : m_options(std::move(options))
    , m_platform(std::move(platform))
    , m_records(records)
    , m_log(log)
    , m_startedAt(m_options.hooks.now())
    , m_nextSnapshot(m_startedAt + std::chrono::duration_cast<Common::Duration>(m_options.snapshotInterval * Common::randomUnit(m_options.hooks)))
    , m_schedule(m_options.schedule, m_options.hooks)
{
}

RecordSync::~RecordSync()
{
    stop();
}

void RecordSync::setPeers(RecordPeers peers)
{
    m_peers = std::move(peers);
}

void RecordSync::start()
{
    m_thread = std::thread([this] { run(); });
}

void RecordSync::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void RecordSync::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_news = false;
        lock.unlock();
        auto wait = step();
        lock.lock();
        m_wake.wait_for(lock, wait, [this] { return m_stopping || m_news; });
    }
}

Common::Duration RecordSync::step()
{
    if (!m_ready && !startRound())
        return m_options.startInterval;
    auto due = [this] {
        auto reader = m_peers.isReader();
        std::lock_guard lock(m_mutex);
        return m_schedule.next(reader, m_records.current()->revision);
    };
    auto task = due();
    if (task.at <= m_options.hooks.now()) {
        if (task.action == RecordAction::Poll || !m_peers.fetch)
            poll();
        else
            fetch();
        task = due();
    }
    if (m_options.hooks.now() >= m_nextSnapshot)
        renewSnapshot();
    return std::max(std::min(task.at, m_nextSnapshot) - m_options.hooks.now(), Common::Duration::zero());
}

ApplyResult RecordSync::take(const Records::RecordUpdate& update)
{
    auto state = m_records.offer(update);
    if (state == ApplyResult::Gap)
        onHeadSeen(lastRevision(update));
    return state;
}

void RecordSync::onHeadSeen(std::uint64_t revision)
{
    auto held = m_records.current()->revision;
    if (revision <= held)
        return;
    {
        std::lock_guard lock(m_mutex);
        m_schedule.headAnnounced(revision, held);
        m_news = true;
    }
    m_wake.notify_all();
}

// The store has the newest; without it, the highest of the snapshot object and several peers.
bool RecordSync::startRound()
{
    if (poll()) {
        m_ready = true;
        return true;
    }
    readSnapshot();
    auto late = m_options.hooks.now() >= m_startedAt + m_options.startLimit;
    if (askPeers() || (late && m_records.current()->revision > 0))
        m_ready = true;
    return m_ready;
}

bool RecordSync::askPeers()
{
    auto answered = false;
    for (int i = 0; m_peers.fetch && i < m_options.startPeers; ++i) {
        auto update = m_peers.fetch(m_records.current()->revision);
        if (!update)
            continue;
        m_records.offer(update.value());
        answered = true;
    }
    return answered && m_records.current()->revision > 0;
}

bool RecordSync::poll()
{
    {
        std::lock_guard lock(m_mutex);
        m_schedule.pollStarted();
    }
    auto before = m_records.current()->revision;
    auto applied = m_records.poll();
    noteStore(applied.has_value(), applied ? "" : applied.error().text);
    {
        std::lock_guard lock(m_mutex);
        m_schedule.pollFinished(applied.has_value(), m_records.current()->revision);
    }
    if (applied && applied.value() && m_ready && m_peers.push)
        m_peers.push(m_records.updateSince(before));
    return applied.has_value();
}

bool RecordSync::fetch()
{
    auto update = m_peers.fetch(m_records.current()->revision);
    auto helped = update && m_records.offer(update.value()) == ApplyResult::Applied;
    std::lock_guard lock(m_mutex);
    m_schedule.fetchFinished(helped);
    return helped;
}

// One event at the start of an outage and one at its end.
void RecordSync::noteStore(bool answered, const std::string& error)
{
    if (answered == m_storeAnswers)
        return;
    m_storeAnswers = answered;
    if (answered)
        m_log.log(EventId::StoreReachable, { { "revision", std::to_string(m_records.current()->revision) } });
    else
        m_log.log(EventId::StoreUnreachable, { { "error", error } });
}

// Any reader that finds the snapshot object older than its own records renews it. The condition on the ETag keeps a reader
// that was paused in between from putting an older one back.
void RecordSync::renewSnapshot()
{
    auto wait = m_options.snapshotInterval * (0.5 + Common::randomUnit(m_options.hooks));
    m_nextSnapshot = m_options.hooks.now() + std::chrono::duration_cast<Common::Duration>(wait);
    if (!m_platform.objects.get || !m_peers.isReader())
        return;
    auto image = m_records.image();
    auto object = m_platform.objects.get(snapshotKey);
    if (!object || image.revision == 0)
        return;
    const auto& found = object.value();
    auto stored = found ? Records::decodeImage(found->bytes) : std::nullopt;
    if (stored && stored->revision >= image.revision)
        return;
    if (m_platform.objects.put(snapshotKey, Records::encodeImage(image), found ? found->etag : ""))
        m_log.log(EventId::SnapshotWritten, { { "revision", std::to_string(image.revision) } });
}

void RecordSync::readSnapshot()
{
    if (!m_platform.objects.get)
        return;
    auto object = m_platform.objects.get(snapshotKey);
    if (!object || !object.value())
        return;
    if (auto image = Records::decodeImage(object.value()->bytes))
        m_records.offer({ .since = 0, .changes = {}, .image = std::move(image) });
}

}
