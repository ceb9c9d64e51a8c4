#include "Gateway/RelayClient.h"

#include <algorithm>

namespace Gateway {

namespace {

    constexpr auto connectTimeout = std::chrono::milliseconds(400);
    constexpr auto silenceLimit = std::chrono::seconds(2);

}

RelayClient::RelayClient(Net::EventLoop& loop, Common::EventLog& log, Catalog& catalog, Members& members, RelayClientOptions options)
    : m_loop(loop)
    , m_log(log)
    , m_catalog(catalog)
    , m_members(members)
    , m_options(std::move(options))
{
}

void RelayClient::setCandidates(std::vector<std::string> candidates)
{
    m_candidates = std::move(candidates);
    if (m_running && !m_isAsking && m_timer == 0)
        ask();
}

void RelayClient::start()
{
    if (m_running)
        return;
    m_running = true;
    ask();
}

void RelayClient::stop()
{
    m_running = false;
    m_isAsking = false;
    m_loop.cancel(m_timer);
    if (m_connection)
        m_connection->close();
    m_connection.reset();
}

void RelayClient::renew()
{
    if (!m_running)
        return;
    stop();
    start();
}

void RelayClient::askLater(Common::Duration delay)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(delay, [this] {
        m_timer = 0;
        ask();
    });
}

bool RelayClient::isAvoided(const std::string& relay) const
{
    auto it = m_trials.find(relay);
    return it != m_trials.end() && m_loop.now() < it->second.avoidUntil;
}

bool RelayClient::allAvoided() const
{
    return std::all_of(m_candidates.begin(), m_candidates.end(), [this](const auto& relay) { return isAvoided(relay); });
}

std::string RelayClient::choose() const
{
    for (const auto& relay : m_candidates) {
        if (!isAvoided(relay))
            return relay;
    }
    // All have failed or are behind: one that answers at least tells who relays instead, the one that failed first may be back.
    if (std::find(m_candidates.begin(), m_candidates.end(), m_following) != m_candidates.end())
        return m_following;
    auto it = std::min_element(m_candidates.begin(), m_candidates.end(), [&](const auto& a, const auto& b) { return m_trials.at(a).avoidUntil < m_trials.at(b).avoidUntil; });
    return it == m_candidates.end() ? std::string() : *it;
}

Net::Request RelayClient::newsRequest(const std::string& relay, Common::Duration wait) const
{
    // A relay that is new to this entry answers at once.
    NewsRequest news {
        .member = m_members.self(),
        .position = m_catalog.isComplete() ? m_catalog.position() : CatalogPosition(),
        .listedBy = m_listedBy,
        .membersRevision = m_membersRevision,
        .wait = wait,
        .roster = m_options.roster(),
    };
    return { .method = "POST", .target = m_options.target, .headers = { { "Host", relay }, { "Content-Type", "application/json" } }, .body = toText(news), .keepAlive = true };
}

void RelayClient::tellRoster(const std::string& control)
{
    auto& connection = m_told[control];
    connection = Net::ClientConnection::open(m_loop, control, { .connectTimeout = connectTimeout, .silenceLimit = silenceLimit });
    auto forget = [this, control] { m_loop.defer([this, control] { m_told.erase(control); }); };
    connection->send(Net::toBytes(newsRequest(control, Common::Duration::zero())), true, answerSlack(),
        { .answered = [forget](Net::ResponseHead&&) { forget(); },
            .failed = [forget](Net::ClientFailure) { forget(); } });
}

void RelayClient::ask()
{
    if (!m_running || m_isAsking)
        return;
    auto relay = choose();
    if (relay.empty())
        return;
    if (!m_connection || !m_connection->isFree() || m_connectedTo != relay) {
        if (m_connection)
            m_connection->close();
        m_connection = Net::ClientConnection::open(m_loop, relay, { .connectTimeout = connectTimeout, .silenceLimit = silenceLimit });
        m_connectedTo = relay;
    }
    auto request = newsRequest(relay, m_wait);
    m_isAsking = true;
    m_connection->send(Net::toBytes(request), true, m_wait + answerSlack(),
        { .answered = [this, relay](Net::ResponseHead&& head) { onAnswer(relay, std::move(head)); },
            .failed = [this, relay](Net::ClientFailure failure) { onFailure(relay, Net::failureName(failure.kind)); } });
}

void RelayClient::onAnswer(const std::string& relay, Net::ResponseHead&& head)
{
    m_isAsking = false;
    auto now = m_loop.now();
    auto answer = head.response.status == Net::HttpStatus::Ok ? parseNewsAnswer(head.response.body) : Common::Result<NewsAnswer>(Common::Error { .code = Common::ResultCode::PeerRefused, .text = "status " + std::to_string(head.response.status) });
    if (!answer)
        return onFailure(relay, answer.error().text);
    auto& news = answer.value();
    m_lastAnswer = now;
    auto isFresh = news.relays && news.update.age <= m_options.staleAge;
    if (!isFresh)
        m_trials[relay].avoidUntil = now + m_options.avoidTime;
    if (news.relays) {
        if (m_following != relay)
            m_log.log(Common::EventId::RelayFollowed, { { "relay", relay }, { "before", m_following }, { "age_ms", std::to_string(static_cast<long>(Common::toMilliseconds(news.update.age))) } });
        m_following = relay;
        if (isFresh)
            m_lastFresh = now;
        m_catalog.apply(news.update);
        m_members.apply(news.members, now);
        m_listedBy = relay;
        m_membersRevision = news.members.revision;
    }
    if (m_rosterHook)
        m_rosterHook(news.roster);
    if (m_running)
        askLater(isFresh || !allAvoided() ? Common::Duration::zero() : retryPause());
}

void RelayClient::onFailure(const std::string& relay, std::string_view cause)
{
    m_isAsking = false;
    m_trials[relay].avoidUntil = m_loop.now() + m_options.avoidTime;
    if (m_following == relay) {
        m_log.log(Common::EventId::RelayLost, { { "relay", relay }, { "cause", std::string(cause) } });
        m_following.clear();
        m_listedBy.clear();
        m_membersRevision = 0;
    }
    if (m_running)
        askLater(allAvoided() ? retryPause() : Common::Duration::zero());
}

}
