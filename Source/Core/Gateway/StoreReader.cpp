#include "Gateway/StoreReader.h"

#include <algorithm>

namespace Gateway {

using Platform::ReadState;

StoreReader::StoreReader(Net::EventLoop& loop, Common::EventLog& log, Catalog& catalog, Platform::AsyncTable table, StoreReaderOptions options)
    : m_loop(loop)
    , m_log(log)
    , m_catalog(catalog)
    , m_table(std::move(table))
    , m_options(std::move(options))
    , m_backoff(m_options.firstBackoff)
    , m_lastAnswer(loop.now())
{
}

void StoreReader::start()
{
    if (m_running)
        return;
    m_running = true;
    m_backoff = m_options.firstBackoff;
    m_lastAnswer = m_loop.now();
    m_sawOperators = false;
    m_registryAsOf = {};
    m_log.log(Common::EventId::RelayStarted, { { "age_ms", std::to_string(static_cast<long>(Common::toMilliseconds(m_catalog.age()))) }, { "position", std::to_string(m_catalog.position().registry) } });
    readRegistry();
    readOperators();
}

void StoreReader::stop()
{
    if (!m_running)
        return;
    m_running = false;
    m_loop.cancel(m_registryTimer);
    m_loop.cancel(m_operatorTimer);
    m_table.cancel();
    m_log.log(Common::EventId::RelayStopped, {});
}

void StoreReader::setBackoff(Common::Duration first, Common::Duration longest)
{
    m_options.firstBackoff = first;
    m_options.maxBackoff = longest;
}

void StoreReader::later(Net::EventLoop::TimerId& timer, Common::Duration delay, void (StoreReader::*next)())
{
    m_loop.cancel(timer);
    timer = m_loop.after(delay, [this, &timer, next] {
        timer = 0;
        (this->*next)();
    });
}

void StoreReader::readRegistry()
{
    ++m_calls;
    auto begun = m_loop.now();
    auto position = m_catalog.position().registry;
    auto whole = position == 0 || m_rereadRegistry;
    auto done = [this, whole, begun](const Platform::RowsRead& read) { onRegistry(read, whole, begun); };
    if (whole)
        m_table.readAll(m_options.registryTable, done);
    else
        m_table.readChanges(m_options.registryTable, position, Common::Duration::zero(), done);
}

void StoreReader::onRegistry(const Platform::RowsRead& read, bool whole, Common::TimePoint begun)
{
    if (!m_running)
        return;
    noteAnswer(read.state != ReadState::Unavailable, read.error);
    if (read.state == ReadState::Unavailable) {
        later(m_registryTimer, std::min(m_backoff, m_options.maxBackoff), &StoreReader::readRegistry);
        m_backoff = 2 * m_backoff;
        return;
    }
    m_backoff = m_options.firstBackoff;
    if (read.state == ReadState::HistoryGone) {
        m_rereadRegistry = true;
        return readRegistry();
    }
    m_rereadRegistry = false;
    if (whole)
        m_catalog.applyWhole(m_options.registryTable, read.rows, read.version);
    else
        m_catalog.applyChanges(m_options.registryTable, read.rows, read.version);
    later(m_registryTimer, m_options.registryInterval, &StoreReader::readRegistry);
    m_registryAsOf = begun;
    confirm();
}

// What is known is as fresh as the registry's last look, once the configuration has been looked at too: it may be large and
// arrive later, and whoever counts as fresh stops reading.
void StoreReader::confirm()
{
    if (!m_sawOperators || m_registryAsOf == Common::TimePoint())
        return;
    m_catalog.confirm(m_registryAsOf);
    if (m_confirmed)
        m_confirmed();
}

void StoreReader::readOperators()
{
    ++m_calls;
    auto position = m_catalog.position().operators;
    auto whole = position == 0 || m_rereadOperators;
    auto wait = m_sawOperators ? m_options.operatorWait : Common::Duration::zero();
    auto done = [this, whole](const Platform::RowsRead& read) { onOperators(read, whole); };
    if (whole)
        m_table.readAll(m_options.operatorTable, done);
    else
        m_table.readChanges(m_options.operatorTable, position, wait, done);
}

void StoreReader::onOperators(const Platform::RowsRead& read, bool whole)
{
    if (!m_running)
        return;
    if (read.state == ReadState::Unavailable) {
        ++m_failures;
        // While the registry cannot be read either, its return starts this again.
        if (m_answers)
            later(m_operatorTimer, m_options.firstBackoff, &StoreReader::readOperators);
        return;
    }
    if (read.state == ReadState::HistoryGone) {
        m_rereadOperators = true;
        return readOperators();
    }
    m_rereadOperators = false;
    if (whole)
        m_catalog.applyWhole(m_options.operatorTable, read.rows, read.version);
    else
        m_catalog.applyChanges(m_options.operatorTable, read.rows, read.version);
    // An empty table has no first version to continue from: it is read whole until something is in it.
    auto wait = whole ? m_options.firstBackoff : Common::Duration::zero();
    later(m_operatorTimer, wait, &StoreReader::readOperators);
    m_sawOperators = true;
    confirm();
}

void StoreReader::noteAnswer(bool answered, const std::string& error)
{
    auto now = m_loop.now();
    if (!answered) {
        ++m_failures;
        if (m_answers)
            m_log.log(Common::EventId::StoreUnreachable, { { "error", error } });
    } else if (!m_answers) {
        m_backSince = now;
        m_catalog.noteOutage();
        m_log.log(Common::EventId::StoreReachable, { { "away_ms", std::to_string(static_cast<long>(Common::toMilliseconds(now - m_lastAnswer))) } });
        // A call that waits for the next configuration may have been swallowed by the outage.
        m_table.cancel();
        later(m_operatorTimer, Common::Duration::zero(), &StoreReader::readOperators);
    }
    m_answers = answered;
    if (answered)
        m_lastAnswer = now;
}

}
