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
    m_ageAtStart = m_catalog.isComplete() ? m_catalog.age() : Common::Duration::zero();
    m_operatorsRead = false;
    m_registryAsOf = {};
    m_log.log(Common::EventId::RelayStarted,
        { { "age_ms", std::to_string(static_cast<long>(Common::toMilliseconds(m_catalog.age()))) },
            { "position", std::to_string(m_catalog.position().registry) } });
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

void StoreReader::schedule(Net::EventLoop::TimerId& timer, Common::Duration delay, void (StoreReader::*next)())
{
    m_loop.cancel(timer);
    timer = m_loop.after(delay, [this, &timer, next] {
        timer = 0;
        (this->*next)();
    });
}

StoreReader::ReadRequest StoreReader::readRequest(std::uint64_t position, bool reread) const
{
    return { .isFull = position == 0 || reread, .era = m_catalog.position().era, .startedAt = m_loop.now(), .bootTime = Common::bootTime(m_loop.hooks()) };
}

void StoreReader::readRegistry()
{
    ++m_calls;
    auto position = m_catalog.position().registry;
    // Changes don't tell of servers that left before the position. A follower of a gateway that doesn't either may hold such servers.
    auto request = readRequest(position, m_rereadRegistry || !m_catalog.knowsRemovals());
    auto done = [this, request](const Platform::RowsRead& read) { onRegistryRead(read, request); };
    if (request.isFull)
        m_table.readAll(m_options.registryTable, done);
    else
        m_table.readChanges(m_options.registryTable, position, Common::Duration::zero(), done);
}

// Compares the era of an answer with the catalog's, and begins a new era in the catalog if the answer tells of one.
StoreReader::EraCheck StoreReader::checkEra(const Platform::RowsRead& read, const ReadRequest& request)
{
    auto known = m_catalog.position().era;
    // An answer that tells no era is taken to be of the era in which it was asked for.
    auto era = read.era != 0 ? read.era : request.era;
    if (era < known) {
        if (!m_eraRejected)
            m_log.log(Common::EventId::StoreEraRejected, { { "era", std::to_string(era) }, { "expected", std::to_string(known) } });
        m_eraRejected = true;
        return EraCheck::Rejected;
    }
    m_eraRejected = false;
    auto isFirst = m_catalog.position() == CatalogPosition();
    if (era > known)
        m_catalog.beginEra(era);
    if (era > known && !isFirst) {
        // Pending calls continue from versions of the old era.
        m_table.cancel();
        m_operatorsRead = false;
        m_registryAsOf = {};
        auto next = Common::Duration::zero();
        schedule(m_registryTimer, next, &StoreReader::readRegistry);
        schedule(m_operatorTimer, next, &StoreReader::readOperators);
    }
    return request.isFull || (request.era == era && read.state == ReadState::Ok) ? EraCheck::Usable : EraCheck::Repeat;
}

void StoreReader::onRegistryUnavailable(const std::string& error)
{
    onStoreResult(false, error);
    schedule(m_registryTimer, std::min(m_backoff, m_options.maxBackoff), &StoreReader::readRegistry);
    m_backoff = std::min(2 * m_backoff, m_options.maxBackoff);
}

void StoreReader::onRegistryRead(const Platform::RowsRead& read, const ReadRequest& request)
{
    if (!m_running)
        return;
    if (read.state == ReadState::Unavailable)
        return onRegistryUnavailable(read.error);
    auto check = checkEra(read, request);
    if (check == EraCheck::Rejected)
        return onRegistryUnavailable("the store answered from an older era");
    onStoreResult(true, {});
    m_backoff = m_options.firstBackoff;
    if (check == EraCheck::Repeat || read.state == ReadState::HistoryExpired) {
        m_rereadRegistry = true;
        return schedule(m_registryTimer, Common::Duration::zero(), &StoreReader::readRegistry);
    }
    m_rereadRegistry = false;
    if (request.isFull)
        m_catalog.applySnapshot(m_options.registryTable, read.rows, read.version);
    else
        m_catalog.applyChanges(m_options.registryTable, read.rows, read.version);
    schedule(m_registryTimer, m_options.registryInterval, &StoreReader::readRegistry);
    m_registryAsOf = request.startedAt;
    confirmFresh();
}

// The catalog is only confirmed once both tables have been read, as of the last read of the registry. The configuration may be
// large and arrive later than the registry, and reading is stopped when the catalog counts as fresh.
void StoreReader::confirmFresh()
{
    if (!m_operatorsRead || m_registryAsOf == Common::TimePoint())
        return;
    m_catalog.markFresh(m_registryAsOf);
    if (m_tablesReadHandler)
        m_tablesReadHandler();
}

void StoreReader::readOperators()
{
    ++m_calls;
    auto position = m_catalog.operatorsPosition();
    auto request = readRequest(position, m_rereadOperators);
    auto wait = m_operatorsRead ? m_options.operatorPollTimeout : Common::Duration::zero();
    auto done = [this, request](const Platform::RowsRead& read) { onOperatorsRead(read, request); };
    if (request.isFull)
        m_table.readAll(m_options.operatorTable, done);
    else
        m_table.readChanges(m_options.operatorTable, position, wait, done);
}

void StoreReader::onOperatorsRead(const Platform::RowsRead& read, const ReadRequest& request)
{
    if (!m_running)
        return;
    auto check = read.state == ReadState::Unavailable ? EraCheck::Rejected : checkEra(read, request);
    if (check == EraCheck::Rejected) {
        ++m_failures;
        // If the registry cannot be read either, onStoreResult() starts this read again when it can.
        if (m_storeAnswers)
            schedule(m_operatorTimer, m_options.firstBackoff, &StoreReader::readOperators);
        return;
    }
    if (check == EraCheck::Repeat || read.state == ReadState::HistoryExpired) {
        m_rereadOperators = true;
        return schedule(m_operatorTimer, Common::Duration::zero(), &StoreReader::readOperators);
    }
    m_rereadOperators = false;
    if (request.isFull)
        m_catalog.applySnapshot(m_options.operatorTable, read.rows, read.version);
    else
        m_catalog.applyChanges(m_options.operatorTable, read.rows, read.version);
    // An empty table has no version to continue from: it is read in full until it has a row.
    auto wait = request.isFull ? m_options.firstBackoff : Common::Duration::zero();
    schedule(m_operatorTimer, wait, &StoreReader::readOperators);
    m_operatorsRead = true;
    m_catalog.confirmConfiguration(request.bootTime);
    confirmFresh();
}

void StoreReader::onStoreResult(bool answered, const std::string& error)
{
    auto now = m_loop.now();
    if (!answered) {
        ++m_failures;
        if (m_storeAnswers)
            m_log.log(Common::EventId::StoreUnreachable, { { "error", error }, { "retry_ms", std::to_string(static_cast<long>(Common::toMilliseconds(m_backoff))) } });
    } else if (!m_storeAnswers) {
        m_reachableSince = now;
        m_catalog.onStoreRecovered();
        m_log.log(Common::EventId::StoreReachable, { { "away_ms", std::to_string(static_cast<long>(Common::toMilliseconds(now - m_lastAnswer))) } });
        // The call that waits for the next configuration may have been lost in the outage.
        m_table.cancel();
        schedule(m_operatorTimer, Common::Duration::zero(), &StoreReader::readOperators);
    }
    m_storeAnswers = answered;
    if (answered)
        m_lastAnswer = now;
}

}
