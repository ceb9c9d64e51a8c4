#include "Gateway/RelayServer.h"

#include <algorithm>

namespace Gateway {

namespace {

    // Changes of a moment go out together; the more entries hear of them, the longer a moment is.
    constexpr auto catalogBatch = std::chrono::milliseconds(15);
    constexpr auto batchPerEntry = std::chrono::microseconds(1200);
    // Members come and go in crowds; callers keep addresses for seconds anyway.
    constexpr auto membersBatch = std::chrono::milliseconds(150);
    constexpr auto maxWait = std::chrono::seconds(5);
    // An entry whose connection ended asks again within this time if it is alive.
    constexpr auto reconnectTime = std::chrono::milliseconds(400);
    // Answers with the whole catalog, a second and processor: one takes about 1 ms. Whoever gets none reads the store.
    constexpr double wholeAnswersPerSecond = 300;
    constexpr double wholeAnswersAtOnce = 4;
    constexpr std::size_t maxCachedRows = 8;

}

RelayServer::RelayServer(Net::EventLoop& loop, Catalog& catalog, Members& members, RelayServerOptions options)
    : m_loop(loop)
    , m_catalog(catalog)
    , m_members(members)
    , m_options(std::move(options))
    , m_wholeAnswers(wholeAnswersPerSecond * m_options.capacity, wholeAnswersAtOnce)
{
}

void RelayServer::serve(const std::shared_ptr<Net::Exchange>& exchange)
{
    auto request = parseNewsRequest(exchange->request().body);
    if (!request)
        return exchange->respond({ .status = Net::HttpStatus::BadRequest, .reason = {}, .headers = {}, .body = request.error().text });
    m_options.onRoster(request.value().roster);
    if (!m_options.relays())
        return answer(exchange, request.value());
    if (m_members.heard(request.value().member, m_loop.now()))
        onMembersChanged();
    // A first answer tells the list of members even where it changes soon.
    if (hasNewsFor(request.value()) || request.value().wait <= Common::Duration::zero())
        return answer(exchange, request.value());
    m_waiting.push_back({ .exchange = exchange, .request = request.value() });
    auto place = std::prev(m_waiting.end());
    place->timer = m_loop.after(std::min<Common::Duration>(request.value().wait, maxWait), [this, place] { answerWaiting(place); });
    exchange->onGone([this, place] {
        m_members.suspect(place->request.member.control, m_loop.now() + reconnectTime);
        m_loop.cancel(place->timer);
        m_waiting.erase(place);
    });
}

bool RelayServer::hasNewsFor(const NewsRequest& request) const
{
    auto isListed = request.listedBy == m_members.self().control;
    return !isListed || m_catalog.hasChangedSince(request.position);
}

void RelayServer::answer(const std::shared_ptr<Net::Exchange>& exchange, const NewsRequest& request)
{
    NewsAnswer answer { .relays = m_options.relays(), .roster = m_options.roster(), .update = {}, .members = {} };
    if (answer.relays)
        answer.update = m_catalog.changesSince(request.position);
    // Entries that start together would take all of this one's time.
    if (answer.update.whole && !m_wholeAnswers.take(m_loop.now()))
        answer.relays = false;
    static const EncodedRows noRows {};
    const auto* rows = &noRows;
    if (answer.relays) {
        auto isListed = request.listedBy == m_members.self().control;
        answer.members = m_members.changesSince(isListed ? request.membersRevision : 0, request.member.failureDomain);
        rows = &rowsSince(request.position, answer.update);
    }
    exchange->respond({ .status = Net::HttpStatus::Ok, .reason = {}, .headers = { { "Content-Type", "application/json" } }, .body = toText(answer, *rows) });
}

const EncodedRows& RelayServer::rowsSince(const CatalogPosition& from, const CatalogUpdate& update)
{
    auto it = std::find_if(m_cachedRows.begin(), m_cachedRows.end(), [&](const auto& cached) { return cached.from == from && cached.to == update.position; });
    if (it != m_cachedRows.end())
        return it->rows;
    m_cachedRows.push_front({ .from = from, .to = update.position, .rows = encodeRows(update.rows) });
    if (m_cachedRows.size() > maxCachedRows)
        m_cachedRows.pop_back();
    return m_cachedRows.front().rows;
}

void RelayServer::answerWaiting(Place place)
{
    auto waiting = std::move(*place);
    m_waiting.erase(place);
    m_loop.cancel(waiting.timer);
    waiting.exchange->onGone({});
    answer(waiting.exchange, waiting.request);
}

void RelayServer::answerSoon(Common::Duration delay)
{
    auto at = m_loop.now() + delay;
    if (m_batchTimer != 0 && m_batchAt <= at)
        return;
    m_loop.cancel(m_batchTimer);
    m_batchAt = at;
    m_batchTimer = m_loop.after(delay, [this] {
        m_batchTimer = 0;
        answerAll();
    });
}

void RelayServer::onCatalogNews()
{
    if (!m_waiting.empty())
        answerSoon(catalogBatch + batchPerEntry * static_cast<int>(m_waiting.size()));
}

void RelayServer::onMembersChanged()
{
    if (!m_waiting.empty())
        answerSoon(membersBatch + batchPerEntry * static_cast<int>(m_waiting.size()));
}

void RelayServer::answerAll()
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        auto place = it++;
        auto hasMembersNews = m_members.hasChanged(place->request.membersRevision, place->request.member.failureDomain);
        if (hasMembersNews || hasNewsFor(place->request))
            answerWaiting(place);
    }
}

void RelayServer::dismiss()
{
    while (!m_waiting.empty())
        answerWaiting(m_waiting.begin());
}

}
