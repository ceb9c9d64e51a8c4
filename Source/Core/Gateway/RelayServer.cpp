#include "Gateway/RelayServer.h"

#include <algorithm>

namespace Gateway {

namespace {

    // Changes that follow each other closely are sent in one response. The delay grows with the number of requests to answer.
    constexpr auto catalogBatchDelay = std::chrono::milliseconds(15);
    constexpr auto batchDelayPerRequest = std::chrono::microseconds(1200);
    // A surge of an organisation goes on until gateways are told. FleetAllowance limits how often that is.
    constexpr auto allowancesBatchDelay = std::chrono::milliseconds(15);
    // Members often join and leave many at a time, and callers cache addresses for seconds anyway.
    constexpr auto membersBatchDelay = std::chrono::milliseconds(150);
    constexpr auto maxLongPollWait = std::chrono::seconds(5);
    // A gateway whose connection ended sends its next request within this time if it is alive.
    constexpr auto reconnectTimeout = std::chrono::milliseconds(400);
    // Limit on responses with the full catalog, per processor: one takes about 1 ms. A gateway that gets none reads the store.
    constexpr double fullUpdatesPerSecond = 300;
    constexpr double fullUpdateBurst = 4;
    // Encoded rows kept for other followers that hold the same position.
    constexpr std::size_t maxCachedRows = 8;

}

RelayServer::RelayServer(Net::EventLoop& loop, Catalog& catalog, Members& members, Decisions::CrashSuspects& crashSuspects, Decisions::FleetAllowance& allowances, RelayServerOptions options)
    : m_loop(loop)
    , m_catalog(catalog)
    , m_members(members)
    , m_crashSuspects(crashSuspects)
    , m_allowances(allowances)
    , m_options(std::move(options))
    , m_fullUpdates(fullUpdatesPerSecond * m_options.capacity, fullUpdateBurst)
{
}

void RelayServer::serve(const std::shared_ptr<Net::Exchange>& exchange)
{
    auto receivedAt = Common::bootTime(m_loop.hooks());
    auto request = parseUpdateRequest(exchange->request().body);
    if (!request)
        return exchange->respond({ .status = Net::HttpStatus::BadRequest, .reason = {}, .headers = {}, .body = request.error().text });
    m_options.onRelayList(request.value().relayList);
    if (m_crashSuspects.merge(request.value().crashes, m_loop.now()))
        onCrashesChanged();
    m_allowances.merge(request.value().usage, m_loop.now());
    if (!m_options.isRelay())
        return answer(exchange, request.value(), receivedAt);
    if (m_members.recordContact(request.value().member, m_loop.now()))
        onMembersChanged();
    // A first request is answered at once, even if the member list is about to change again.
    if (hasUpdateFor(request.value()) || request.value().wait <= Common::Duration::zero())
        return answer(exchange, request.value(), receivedAt);
    m_pending.push_back({ .exchange = exchange, .request = request.value(), .receivedAt = receivedAt });
    auto it = std::prev(m_pending.end());
    it->timer = m_loop.after(std::min<Common::Duration>(request.value().wait, maxLongPollWait), [this, it] { answerPending(it); });
    exchange->onClientClosed([this, it] {
        m_members.suspect(it->request.member.control, m_loop.now() + reconnectTimeout);
        m_loop.cancel(it->timer);
        m_pending.erase(it);
    });
}

bool RelayServer::hasUpdateFor(const UpdateRequest& request) const
{
    return !hasOurList(request) || m_catalog.hasChangedSince(request.position) || request.crashesRevision < m_crashSuspects.sharedRevision()
        || (m_allowances.isActive() && request.allowancesRevision < m_allowances.revision());
}

bool RelayServer::hasOurList(const UpdateRequest& request) const
{
    // Revisions of an earlier process at this address mean nothing here. Senders of older versions don't tell which one they mean.
    return request.membersFrom == m_members.self().control
        && (request.membersStartedMs == 0 || request.membersStartedMs == m_members.self().startedMs);
}

void RelayServer::answer(const std::shared_ptr<Net::Exchange>& exchange, const UpdateRequest& request, Common::TimePoint receivedAt)
{
    // A gateway that names no era, of a version before eras, has to read the store once the era has changed.
    UpdateResponse response { .isRelay = m_options.isRelay() && m_catalog.canServe(request.position), .relayList = m_options.relayList(), .catalog = {}, .members = {}, .crashes = {}, .allowances = {} };
    if (response.isRelay)
        response.catalog = m_catalog.changesSince(request.position);
    // Many gateways that start together would take up all processor time of this one. Beyond the limit they are told that this
    // one is no relay.
    if (response.catalog.isFull && !m_fullUpdates.take(m_loop.now()))
        response.isRelay = false;
    static const EncodedRows noRows {};
    const auto* rows = &noRows;
    if (response.isRelay) {
        response.members = m_members.changesSince(hasOurList(request) ? request.membersRevision : 0, request.member.failureDomain);
        response.crashes = m_crashSuspects.sharedSince(hasOurList(request) ? request.crashesRevision : 0);
        response.crashesRevision = m_crashSuspects.revision();
        if (m_allowances.isActive()) {
            response.allowances = m_allowances.allowances(m_loop.now());
            response.allowancesRevision = m_allowances.revision();
        }
        response.held = Common::bootTime(m_loop.hooks()) - receivedAt;
        rows = &rowsSince(request.position, response.catalog);
    }
    exchange->respond({
        .status = Net::HttpStatus::Ok,
        .reason = {},
        .headers = { { "Content-Type", "application/json" } },
        .body = toText(response, *rows),
    });
}

const EncodedRows& RelayServer::rowsSince(const CatalogPosition& from, const CatalogUpdate& update)
{
    auto it = std::find_if(m_cachedRows.begin(), m_cachedRows.end(), [&](const auto& cached) { return cached.from == from && cached.to == update.position; });
    if (it != m_cachedRows.end())
        return it->rows;
    // Rows of an earlier position would only take memory: with a large configuration, megabytes.
    std::erase_if(m_cachedRows, [&](const auto& cached) { return cached.to != update.position; });
    m_cachedRows.push_front({ .from = from, .to = update.position, .rows = encodeRows(update.rows) });
    if (m_cachedRows.size() > maxCachedRows)
        m_cachedRows.pop_back();
    return m_cachedRows.front().rows;
}

void RelayServer::answerPending(PendingIterator it)
{
    auto pending = std::move(*it);
    m_pending.erase(it);
    m_loop.cancel(pending.timer);
    pending.exchange->onClientClosed({});
    answer(pending.exchange, pending.request, pending.receivedAt);
}

void RelayServer::scheduleAnswers(Common::Duration delay)
{
    auto at = m_loop.now() + delay;
    if (m_batchTimer != 0 && m_batchAt <= at)
        return;
    m_loop.cancel(m_batchTimer);
    m_batchAt = at;
    m_batchTimer = m_loop.after(delay, [this] {
        m_batchTimer = 0;
        answerOutdated();
    });
}

void RelayServer::onCatalogChanged()
{
    if (!m_pending.empty())
        scheduleAnswers(catalogBatchDelay + batchDelayPerRequest * static_cast<int>(m_pending.size()));
}

void RelayServer::onMembersChanged()
{
    if (!m_pending.empty())
        scheduleAnswers(membersBatchDelay + batchDelayPerRequest * static_cast<int>(m_pending.size()));
}

void RelayServer::onCrashesChanged()
{
    onCatalogChanged();
}

void RelayServer::onAllowancesChanged()
{
    if (!m_pending.empty())
        scheduleAnswers(allowancesBatchDelay);
}

void RelayServer::answerOutdated()
{
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        auto current = it++;
        auto hasMemberUpdate = m_members.hasChanged(current->request.membersRevision, current->request.member.failureDomain);
        if (hasMemberUpdate || hasUpdateFor(current->request))
            answerPending(current);
    }
}

void RelayServer::answerAll()
{
    while (!m_pending.empty())
        answerPending(m_pending.begin());
}

}
