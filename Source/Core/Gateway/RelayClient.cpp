#include "Gateway/RelayClient.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

    constexpr auto connectTimeout = std::chrono::milliseconds(400);
    constexpr auto deadPeerTimeout = std::chrono::seconds(2);
    // The shortest pause between two rounds of requests is this part of the retry interval.
    constexpr int minPauseDivisor = 4;

}

RelayClient::RelayClient(Net::EventLoop& loop, Common::EventLog& log, Catalog& catalog, Members& members, Decisions::CrashSuspects& crashSuspects, Decisions::FleetAllowance& allowances, RelayClientOptions options)
    : m_loop(loop)
    , m_log(log)
    , m_catalog(catalog)
    , m_members(members)
    , m_crashSuspects(crashSuspects)
    , m_allowances(allowances)
    , m_options(std::move(options))
{
}

void RelayClient::setCandidates(std::vector<std::string> candidates)
{
    auto before = std::exchange(m_candidates, std::move(candidates));
    auto isNew = [&](const std::string& candidate) { return !isAvoided(candidate) && std::find(before.begin(), before.end(), candidate) == before.end(); };
    if (!m_running || m_requestPending)
        return;
    // A pause after all others have failed does not apply to a new candidate.
    if (m_timer == 0 || std::any_of(m_candidates.begin(), m_candidates.end(), isNew)) {
        m_loop.cancel(m_timer);
        sendRequest();
    }
}

void RelayClient::start()
{
    if (m_running)
        return;
    m_running = true;
    sendRequest();
}

void RelayClient::stop()
{
    m_running = false;
    m_requestPending = false;
    m_loop.cancel(m_timer);
    if (m_connection)
        m_connection->close();
    m_connection.reset();
}

void RelayClient::restart()
{
    if (!m_running)
        return;
    stop();
    start();
}

void RelayClient::scheduleRequest(Common::Duration delay)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(delay, [this] {
        m_timer = 0;
        sendRequest();
    });
}

bool RelayClient::isAvoided(const std::string& relay) const
{
    auto it = m_relayStates.find(relay);
    return it != m_relayStates.end() && m_loop.now() < it->second.avoidUntil;
}

bool RelayClient::allAvoided() const
{
    return std::all_of(m_candidates.begin(), m_candidates.end(), [this](const auto& relay) { return isAvoided(relay); });
}

// Requests to further candidates don't delay the next one to the relay: whether it still answers decides about reading the store.
Common::Duration RelayClient::pauseLeft() const
{
    auto interval = retryInterval();
    return std::max(m_roundStartedAt + interval - m_loop.now(), interval / minPauseDivisor);
}

std::string RelayClient::chooseRelay() const
{
    for (const auto& relay : m_candidates) {
        if (!isAvoided(relay))
            return relay;
    }
    // All are avoided. The one followed last still responds, and its relay list names its successor; otherwise the one that
    // failed first may be back.
    if (std::find(m_candidates.begin(), m_candidates.end(), m_currentRelay) != m_candidates.end())
        return m_currentRelay;
    auto it = std::min_element(m_candidates.begin(), m_candidates.end(),
        [&](const auto& a, const auto& b) { return m_relayStates.at(a).avoidUntil < m_relayStates.at(b).avoidUntil; });
    return it == m_candidates.end() ? std::string() : *it;
}

Net::Request RelayClient::updateRequest(const std::string& relay, Common::Duration wait) const
{
    UpdateRequest update {
        .member = m_members.self(),
        .position = m_catalog.isComplete() && !m_wantsFullCatalog ? m_catalog.receivedPosition() : CatalogPosition(),
        .membersFrom = m_membersFrom,
        .membersRevision = m_membersRevision,
        .membersStartedMs = m_membersStartedMs,
        .wait = wait,
        .relayList = m_options.relayList(),
        .crashes = m_crashSuspects.learnedSince(relay == m_membersFrom ? m_reported.crashes : 0),
        .crashesRevision = m_crashesRevision,
        .usage = {},
        .allowancesRevision = m_allowancesRevision,
    };
    if (m_allowances.isActive())
        update.usage = m_allowances.usageSince(relay == m_membersFrom ? m_reported.usage : 0);
    return {
        .method = "POST",
        .target = m_options.target,
        .headers = { { "Host", relay }, { "Content-Type", "application/json" } },
        .body = toText(update),
        .keepAlive = true,
    };
}

void RelayClient::sendRelayList(const std::string& control)
{
    auto& connection = m_oneTimeConnections[control];
    connection = Net::ClientConnection::open(m_loop, control, { .connectTimeout = connectTimeout, .deadPeerTimeout = deadPeerTimeout });
    auto closeConnection = [this, control] { m_loop.defer([this, control] { m_oneTimeConnections.erase(control); }); };
    connection->send(Net::toBytes(updateRequest(control, Common::Duration::zero())), true, timeoutMargin(),
        { .answered = [closeConnection](Net::ResponseHead&&) { closeConnection(); },
            .failed = [closeConnection](const Net::ClientFailure&) { closeConnection(); } });
}

Common::Duration RelayClient::nextWait() const
{
    // A relay that had no recent data is asked what it has now: while it held the request open, it would not tell.
    if (m_lastAnswerOutdated)
        return Common::Duration::zero();
    // Gateways that were answered together would also report their usage together from then on, and the relay would learn of a surge only
    // once in each wait.
    if (m_allowances.isActive() && m_answeredEarly)
        return Common::fromMilliseconds(Common::toMilliseconds(m_wait) * Common::randomUnit(m_loop.hooks()));
    return m_wait;
}

void RelayClient::sendRequest()
{
    if (!m_running || m_requestPending)
        return;
    auto relay = chooseRelay();
    if (relay.empty())
        return;
    if (!m_connection || !m_connection->isFree() || m_connectedTo != relay) {
        if (m_connection)
            m_connection->close();
        m_connection = Net::ClientConnection::open(m_loop, relay, { .connectTimeout = connectTimeout, .deadPeerTimeout = deadPeerTimeout });
        m_connectedTo = relay;
    }
    if (isAvoided(relay))
        m_roundStartedAt = m_loop.now();
    if (m_allowances.isActive())
        m_allowances.recordOwn(m_members.self().control, m_members.self().startedMs, m_loop.now());
    auto wait = nextWait();
    m_requestedWait = wait;
    auto request = updateRequest(relay, wait);
    m_requestPending = true;
    m_requestSentAt = Common::bootTime(m_loop.hooks());
    m_connection->send(Net::toBytes(request), true, wait + timeoutMargin(),
        { .answered = [this, relay, reported = Reported { .crashes = m_crashSuspects.revision(), .usage = m_allowances.usageRevision() }](Net::ResponseHead&& head) { onResponse(relay, std::move(head), reported); },
            .failed = [this, relay](const Net::ClientFailure& failure) { onFailure(relay, Net::failureText(failure)); } });
}

void RelayClient::onResponse(const std::string& relay, Net::ResponseHead&& head, Reported reported)
{
    m_requestPending = false;
    m_answeredEarly = Common::bootTime(m_loop.hooks()) - m_requestSentAt < m_requestedWait;
    auto now = m_loop.now();
    auto response = head.response.status == Net::HttpStatus::Ok
        ? parseUpdateResponse(head.response.body)
        : Common::Result<UpdateResponse>(Common::Error { .code = Common::ResultCode::PeerRefused, .text = "status " + std::to_string(head.response.status) });
    if (!response)
        return onFailure(relay, response.error().text);
    auto& update = response.value();
    ageConfiguration(update);
    m_lastResponse = now;
    auto isApplied = update.isRelay && m_catalog.apply(update.catalog);
    auto isFresh = isApplied && update.catalog.age <= m_options.maxCatalogAge;
    m_lastAnswerOutdated = !isFresh;
    if (!isFresh) {
        m_relayStates[relay].avoidUntil = now + m_options.avoidPeriod;
        if (m_currentRelay == relay && !std::exchange(m_currentRelayOutdated, true)) {
            m_log.log(Common::EventId::RelayOutdated,
                { { "relay", relay },
                    { "is_relay", update.isRelay ? "true" : "false" },
                    { "age_ms", std::to_string(static_cast<long>(Common::toMilliseconds(m_catalog.age()))) },
                    { "relay_list", std::to_string(update.relayList.version) } });
        }
    }
    if (isApplied) {
        if (m_currentRelay != relay) {
            m_log.log(Common::EventId::RelayFollowed,
                { { "relay", relay },
                    { "before", m_currentRelay },
                    { "age_ms", std::to_string(static_cast<long>(Common::toMilliseconds(update.catalog.age))) } });
        }
        m_currentRelay = relay;
        if (isFresh) {
            m_lastFreshResponse = now;
            m_currentRelayOutdated = false;
        }
        m_members.apply(update.members, now);
        // A relay that has started anew knows nothing of earlier reports.
        auto hasReports = m_membersFrom == relay && m_membersStartedMs == update.members.startedMs;
        m_membersFrom = relay;
        m_membersRevision = update.members.revision;
        m_membersStartedMs = update.members.startedMs;
        updateFullCatalogRequest({ .relay = relay, .startedMs = update.members.startedMs, .knowsRemovals = update.catalog.knowsRemovals });
        m_crashesRevision = update.crashesRevision;
        m_reported = hasReports ? reported : Reported();
        m_allowancesRevision = update.allowancesRevision;
        if (m_crashSuspects.merge(update.crashes, now) && m_crashHook)
            m_crashHook();
        if (update.allowances && m_allowances.apply(*update.allowances, now) && m_allowanceHook)
            m_allowanceHook();
    }
    if (m_relayListHook)
        m_relayListHook(update.relayList);
    if (m_running)
        scheduleRequest(isFresh || !allAvoided() ? Common::Duration::zero() : pauseLeft());
}

// The response may have waited on its way, or for this process to go on after a pause.
void RelayClient::ageConfiguration(UpdateResponse& update) const
{
    if (!update.catalog.configurationAge)
        return;
    auto onTheWay = Common::bootTime(m_loop.hooks()) - m_requestSentAt - update.held;
    *update.catalog.configurationAge += std::max(onTheWay, Common::Duration::zero());
}

// Decides whether the next request asks for the full catalog: once for each relay process while it is not known that all removals have
// been received. A relay that doesn't tell whether it knows them gives at least what it holds itself.
void RelayClient::updateFullCatalogRequest(const FullCatalogSource& source)
{
    if (m_wantsFullCatalog)
        m_fullCatalogSource = source;
    m_wantsFullCatalog = !m_catalog.knowsRemovals() && m_fullCatalogSource != source;
}

void RelayClient::onFailure(const std::string& relay, std::string_view cause)
{
    m_requestPending = false;
    m_relayStates[relay].avoidUntil = m_loop.now() + m_options.avoidPeriod;
    if (m_currentRelay == relay) {
        m_log.log(Common::EventId::RelayLost, { { "relay", relay }, { "cause", std::string(cause) } });
        m_currentRelay.clear();
        m_currentRelayOutdated = false;
        m_membersFrom.clear();
        m_membersRevision = 0;
        m_crashesRevision = m_allowancesRevision = 0;
        m_reported = {};
    }
    if (m_running)
        scheduleRequest(allAvoided() ? pauseLeft() : Common::Duration::zero());
}

}
