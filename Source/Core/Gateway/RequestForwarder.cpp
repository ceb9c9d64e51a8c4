#include "Gateway/RequestForwarder.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Decisions/Shutdown.h"
#include "Gateway/ForwardedRequest.h"
#include "Gateway/RequestIdentity.h"

namespace Gateway {

namespace {

    using Common::EventId;
    using Decisions::RefusalReason;

    // Answers to load probes take about 1 ms within a failure domain and about 5 ms across; a server that needs longer than
    // this is overloaded or gone.
    constexpr auto probeTimeout = std::chrono::milliseconds(250);
    // How long the probes of one candidate scope wait for a first answer.
    constexpr auto firstProbeAnswerTimeout = std::chrono::milliseconds(60);
    // How long they wait for more results once one server has answered.
    constexpr auto furtherProbeResultsTimeout = std::chrono::milliseconds(6);
    // Requests that are not safe to repeat use only connections that were idle for at most this long: the server may already
    // have closed an older one.
    constexpr auto maxIdleForUnsafeRequests = std::chrono::milliseconds(500);
    // Rounds of load probes for one request, as servers' limits are used up by others meanwhile.
    constexpr std::size_t maxProbeRounds = 8;
    // Rounds of load probes to other gateways for one request.
    constexpr int maxPeerRounds = 3;
    // While no new connections can be opened, a request is forwarded rather than sent to a server that fails more of them.
    constexpr double maxFailureShareBeforePeers = 0.3;
    // No further attempt starts with less time than this before the deadline.
    constexpr double minTimeLeftMs = 20;
    // A hedged attempt starts when the open attempt takes this many times its expected response time, but not before the minimum.
    constexpr double hedgeDelayFactor = 2.5;
    constexpr double minHedgeDelayMs = 60;
    // Share of a round's probes that is sent first, to servers in the own failure domain.
    constexpr double ownDomainProbeShare = 0.5;
    // Randomises the ranking of probe candidates by a factor of up to 1 + rankJitter, so that gateways don't all probe the
    // same servers.
    constexpr double rankJitter = 0.8;
    // Servers that did not answer their last probes rank behind nearly all others.
    constexpr double suspectPenaltyFactor = 20;
    constexpr auto stoppingCause = "the gateway stops before the request could be answered";
    // A response counts as slow, and is logged, when it took longer than this share of the route's latency goal.
    constexpr double slowShareOfGoal = 1.0;

    using enum Net::HttpStatus;

    bool isServerFailure(int status)
    {
        return status >= ServerError;
    }

    // Statuses by which callers know that their request has not run and never will, so that they send it again even if it must not run twice.
    bool promisesNotExecuted(int status)
    {
        return status == RequestTimeout || status == Misdirected || status == TooManyRequests || status == Unavailable;
    }

}

RequestForwarder::RequestForwarder(RequestRouter& router, std::shared_ptr<Net::Exchange> exchange, RequestPlan plan)
    : m_router(router)
    , m_exchange(std::move(exchange))
    , m_route(std::move(plan.route))
    , m_service(std::move(plan.service))
    , m_id(Net::findHeader(m_exchange->request().headers, router.options().headers.requestId).value_or(""))
    , m_identity(requestIdentity(m_exchange->request()))
    , m_body(m_exchange->isBodyWhole())
    , m_deadline(plan.deadline)
    , m_origin(plan.origin)
    , m_authenticator(plan.authenticator)
    , m_configurationVersion(router.configuration()->version)
{
    setOrganisation(std::move(plan.organisation));
}

void RequestForwarder::setOrganisation(std::optional<Organisation> organisation)
{
    m_organisation = std::move(organisation);
    if (m_organisation && m_organisation->priority)
        m_route.priority = *m_organisation->priority;
}

// A key may be revoked, or move to another organisation, while its request waits.
bool RequestForwarder::confirmCaller()
{
    const auto& configuration = m_router.configuration();
    if (m_authenticator != Authenticator::Self || m_configurationVersion == configuration->version)
        return true;
    auto identity = m_router.identify(m_exchange->request(), m_route);
    if (identity.verdict == Decisions::AuthenticationVerdict::Serve) {
        m_configurationVersion = configuration->version;
        setOrganisation(std::move(identity.organisation));
        return true;
    }
    if (m_openAttempts > 0)
        return false; // an earlier attempt may still be answered
    if (m_serverFailure || m_mayHaveExecuted) {
        giveUp("the API key was revoked", RefusalReason::Shed, 0);
        return false;
    }
    if (identity.verdict == Decisions::AuthenticationVerdict::Outdated && m_origin == RequestOrigin::Caller && m_attemptCount == 0) {
        m_authenticator = Authenticator::Receiver;
        m_organisation.reset();
        m_router.countHandedOver(m_service);
        selectTarget();
        return false;
    }
    rejectCaller(identity.verdict);
    return false;
}

void RequestForwarder::rejectCaller(Decisions::AuthenticationVerdict verdict)
{
    auto isReturned = m_origin == RequestOrigin::Gateway && verdict == Decisions::AuthenticationVerdict::Outdated;
    if (isReturned)
        m_router.countHandedOver(m_service);
    const auto* reason = !isReturned ? "" : m_attemptCount > 0 ? "1"
        : m_router.isConfigurationOutdated()                   ? outdatedReason
                                                               : undecidedReason;
    auto exchange = m_exchange;
    finish();
    m_router.rejectCaller(exchange, m_route, verdict, reason);
}

double RequestForwarder::timeLeftMs() const
{
    return Common::toMilliseconds(m_deadline - m_router.loop().now());
}

bool RequestForwarder::completesBeforeStop(double expectedMs) const
{
    const auto& stop = m_router.stopPeriod();
    auto isWhole = m_exchange->isBodyReceived();
    // A body that was under way when the stop began is completed.
    if (!stop || (!isWhole && m_exchange->received() <= stop->begin))
        return true;
    auto now = m_router.loop().now();
    return Decisions::completesWithin(stop->end - now, { .expected = Common::fromMilliseconds(expectedMs), .allowed = m_deadline - now, .isWhole = isWhole });
}

void RequestForwarder::start()
{
    std::weak_ptr<RequestForwarder> weak = weak_from_this();
    m_exchange->onClientClosed([weak] {
        if (auto self = weak.lock())
            self->abandon();
    });
    if (!m_body.isWhole()) {
        ++m_router.counters().longBodies;
        m_exchange->onBody([weak] {
            if (auto self = weak.lock())
                self->onBody();
        });
    }
    if (!m_router.hasMemory(m_body.isWhole())) {
        ++m_router.counters().refusedForMemory;
        return refuse(RefusalReason::Memory, 0);
    }
    if (m_router.crashSuspects().refuses(m_identity, m_router.loop().now())) {
        ++m_router.counters().blocked;
        return refuse(RefusalReason::Blocked, 0);
    }
    if (!completesBeforeStop(m_router.expectedServiceTimeMs(m_route)))
        return refuse(RefusalReason::Stopping, 0);
    // The gateway that authenticates the caller counts it.
    if (m_authenticator != Authenticator::Receiver)
        m_router.countRequest(m_service);
    m_deadlineTimer = m_router.loop().after(m_deadline - m_router.loop().now(), [weak] {
        if (auto self = weak.lock())
            self->onDeadline();
    });
    selectTarget();
}

void RequestForwarder::selectTarget()
{
    if (m_authenticator == Authenticator::Receiver) {
        if (!probePeers())
            giveUp("no other gateway is known that can authenticate the caller", RefusalReason::Outdated, 0);
        return;
    }
    if (m_router.backends().reachability(m_service) != Decisions::Reachability::Unreachable || !probePeers())
        probeServers(CandidateScope::OwnDomain);
}

// Servers in the scope that the request was not sent to yet, in the order in which to probe them: by ascending placement cost,
// randomised and with the penalties above. Servers without a report rank well, so that they are probed too.
std::vector<std::shared_ptr<Backend>> RequestForwarder::rankedCandidates(CandidateScope scope)
{
    auto& router = m_router;
    auto now = router.loop().now();
    auto serviceTimeMs = router.expectedServiceTimeMs(m_route);
    auto candidates = router.backends().candidates(m_service, scope == CandidateScope::OwnDomain, m_tried);
    if (router.backends().reachability(m_service) == Decisions::Reachability::NoNewConnections)
        std::erase_if(candidates, [](const auto& backend) { return !backend->hasFreeConnection(); });
    std::vector<std::pair<double, std::shared_ptr<Backend>>> ranked;
    for (auto& backend : candidates) {
        auto spread = 1 + rankJitter * Common::randomUnit(router.loop().hooks());
        auto suspectFactor = backend->isSuspect(now) ? suspectPenaltyFactor : 1;
        auto connectMs = backend->hasFreeConnection() ? 0 : Decisions::newConnectionCostMs(now - backend->lastContact(), router.gatewayCount());
        ranked.emplace_back(
            connectMs + spread * suspectFactor * Decisions::placementCostMs(backend->signal(now), serviceTimeMs, router.options().placement),
            std::move(backend));
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    candidates.clear();
    for (auto& [costMs, backend] : ranked)
        candidates.push_back(std::move(backend));
    return candidates;
}

// Probes a few servers for their load. The own failure domain goes first: it answers sooner, and traffic within it is cheaper.
void RequestForwarder::probeServers(CandidateScope scope)
{
    auto& router = m_router;
    auto keepAlive = shared_from_this();
    m_scope = scope;
    m_hasProbedServers = true;
    if (scope == CandidateScope::OwnDomain) {
        ++m_probeRound;
        m_probes.clear();
        m_probesLeft = router.probeBudget().beginServerSelection(router.loop().now());
    }
    auto candidates = rankedCandidates(scope);
    // A fractional number of probes is rounded up with the probability of its fraction.
    auto meanProbes = scope == CandidateScope::OwnDomain ? ownDomainProbeShare * m_probesLeft : m_probesLeft;
    auto probesWanted = static_cast<std::size_t>(meanProbes + Common::randomUnit(router.loop().hooks()));
    auto n = router.probeBudget().take(std::min(candidates.size(), probesWanted), router.loop().now());
    router.counters().probes += n;
    m_probesLeft -= static_cast<double>(n);
    if (n == 0 && scope == CandidateScope::OwnDomain)
        return probeServers(CandidateScope::OtherDomains);
    if (n == 0) {
        // No probe can be sent, usually because the probe budget is spent. If the whole round has sent none, the request is placed
        // by the last known, possibly stale, signals of all servers, unless it would probably be lost on its way.
        // A hedge needs a server that has just reported room.
        if (m_probes.empty() && !m_isHedging && router.backends().reachability(m_service) != Decisions::Reachability::Unreachable) {
            for (const auto& candidateScope : { CandidateScope::OwnDomain, CandidateScope::OtherDomains }) {
                for (const auto& backend : rankedCandidates(candidateScope))
                    m_probes.push_back({ .backend = backend, .answered = true });
            }
        }
        return placeRequest();
    }
    m_probesSent += static_cast<int>(n);
    candidates.resize(n);
    sendProbes(std::move(candidates));
}

bool RequestForwarder::probePeers()
{
    if (m_origin == RequestOrigin::Gateway || m_peerRounds >= maxPeerRounds)
        return false;
    auto keepAlive = shared_from_this();
    auto peers = m_router.peers().candidates(peerNeed(), m_service);
    if (peers.empty())
        return false;
    ++m_peerRounds;
    ++m_probeRound;
    m_scope = CandidateScope::Peers;
    m_probes.clear();
    sendProbes(std::move(peers));
    return true;
}

void RequestForwarder::sendProbes(std::vector<std::shared_ptr<Backend>> targets)
{
    startProbeTimer(firstProbeAnswerTimeout);
    std::weak_ptr<RequestForwarder> weak = weak_from_this();
    auto round = m_probeRound;
    auto first = m_probes.size();
    for (const auto& target : targets)
        m_probes.push_back({ .backend = target });
    for (std::size_t i = 0; i < targets.size(); ++i) {
        auto done = [weak, round, index = first + i](const ProbeAnswer& answer) {
            if (auto self = weak.lock())
                self->onProbeResult(index, round, answer);
        };
        if (m_scope == CandidateScope::Peers)
            m_router.peers().probe(peerNeed(), targets[i], probeTimeout, done);
        else
            targets[i]->probe(probeTimeout, done);
    }
}

void RequestForwarder::onProbeResult(std::size_t index, std::size_t round, const ProbeAnswer& answer)
{
    // The probes of earlier rounds have been cleared.
    if (m_ended || round != m_probeRound)
        return;
    auto& probe = m_probes[index];
    probe.answered = answer.answered && probe.backend->isAvailable(m_router.loop().now()) && (m_scope != CandidateScope::Peers || answer.healthy);
    probe.failed = !probe.answered;
    if (!isProbing())
        return;
    if (!isProbePending()) {
        m_router.loop().cancel(m_probeTimer);
        return onProbesDone();
    }
    auto answered = std::count_if(m_probes.begin(), m_probes.end(), [](const LoadProbe& it) { return it.answered; });
    // The first answer starts the timer for further results; a probe that fails while there is one answer starts it again.
    if (answered == 1)
        startProbeTimer(furtherProbeResultsTimeout);
}

bool RequestForwarder::isProbePending() const
{
    return std::any_of(m_probes.begin(), m_probes.end(), [](const LoadProbe& it) { return !it.answered && !it.failed; });
}

void RequestForwarder::startProbeTimer(Common::Duration timeout)
{
    std::weak_ptr<RequestForwarder> weak = weak_from_this();
    m_router.loop().cancel(m_probeTimer);
    m_probeTimer = m_router.loop().after(timeout, [weak] {
        if (auto self = weak.lock()) {
            self->m_probeTimer = 0;
            self->onProbesDone();
        }
    });
}

void RequestForwarder::onProbesDone()
{
    if (m_ended)
        return;
    if (m_scope == CandidateScope::Peers)
        return placeAtPeer();
    auto now = m_router.loop().now();
    const auto& options = m_router.options().placement;
    auto startsAtOnce = [&](const LoadProbe& it) { return it.answered && Decisions::startsAtUsualSpeed(it.backend->signal(now), options); };
    if (m_scope == CandidateScope::OwnDomain && std::none_of(m_probes.begin(), m_probes.end(), startsAtOnce))
        return probeServers(CandidateScope::OtherDomains);
    placeRequest();
}

void RequestForwarder::placeRequest()
{
    // The open attempt has failed meanwhile; it is retried once it is known whether its server has ended.
    if (m_isHedging && m_openAttempts != 1) {
        m_isHedging = false;
        return;
    }
    auto now = m_router.loop().now();
    const auto& options = m_router.options().placement;
    auto serviceTimeMs = m_router.expectedServiceTimeMs(m_route);
    auto hasRoom = [&](const Decisions::ServerSignal& signal) {
        return m_isHedging ? Decisions::acceptsHedge(signal, serviceTimeMs, m_route.priority, Common::toMilliseconds(openAttemptAge()), options)
                           : Decisions::hasCapacity(signal, m_route.priority, options);
    };
    std::vector<Decisions::ServerSignal> signals;
    std::vector<std::shared_ptr<Backend>> backends;
    auto full = 0;
    auto mayConnect = m_router.backends().reachability(m_service) != Decisions::Reachability::NoNewConnections;
    auto isLimitUsedUp = false; // by other requests, since a server was probed
    for (const auto& probe : m_probes) {
        isLimitUsedUp = isLimitUsedUp || !probe.backend->allowsRequest(now);
        if (!probe.answered || !probe.backend->isAvailable(now) || m_tried.contains(probe.backend->record().id))
            continue;
        // Another request may have taken the connection that the load probe used.
        if (!mayConnect && !probe.backend->hasFreeConnection())
            continue;
        auto signal = probe.backend->signal(now);
        if (!hasRoom(signal)) {
            ++full;
            continue;
        }
        signals.push_back(signal);
        backends.push_back(probe.backend);
    }
    m_lastInputs = fmt::format("of={} full={}", backends.size() + static_cast<std::size_t>(full), full);
    if (backends.empty()) {
        if (m_isHedging)
            return denyHedge("no server with room");
        if (m_openAttempts > 0)
            return; // an earlier attempt may still be answered
        if (isLimitUsedUp && m_probeRound < maxProbeRounds)
            return probeServers(CandidateScope::OwnDomain);
        auto isSilent = full == 0 && std::none_of(m_probes.begin(), m_probes.end(), [](const LoadProbe& it) { return it.answered; });
        auto isReachable = m_router.backends().reachability(m_service) == Decisions::Reachability::Reachable;
        // Where not all servers are reached, those that are may be full while others have room.
        m_foundFullServers = m_foundFullServers || full > 0;
        if (!isReachable && probePeers())
            return;
        // Servers that answer late are better than none.
        if (full == 0 && isProbePending() && m_lateProbeRound != m_probeRound) {
            m_lateProbeRound = m_probeRound;
            return startProbeTimer(probeTimeout);
        }
        if (isSilent && !m_probes.empty() && probePeers())
            return;
        auto reason = full > 0                                ? RefusalReason::Busy
            : m_router.backends().usableCount(m_service) == 0 ? RefusalReason::NoServer
            : m_router.backends().pauseLeft(m_service)        ? RefusalReason::Paused
                                                              : RefusalReason::NoReport;
        return giveUp("no other server answered a load probe with room for the request", reason, 0);
    }
    auto best = Decisions::bestServer(signals, serviceTimeMs, options);
    const auto& signal = signals[best];
    auto expectedMs = Decisions::expectedResponseMs(signal, serviceTimeMs, options);
    auto reportAge = backends[best]->reportAge(now);
    m_lastInputs = fmt::format(
        "running={} waiting={} slots={} work_factor={:.2f} slowness={:.2f} failures={:.2f} own_domain={} report_ms={} expected_ms={:.0f} of={} full={}",
        signal.running, signal.waiting, signal.slots, signal.workFactor, signal.slowness, signal.failureShare, signal.sameDomain,
        reportAge ? fmt::format("{:.0f}", Common::toMilliseconds(*reportAge)) : "none", expectedMs, backends.size(), full);
    if (m_isHedging && expectedMs > timeLeftMs())
        return denyHedge("too late");
    if (m_isHedging)
        return sendHedge(backends[best], expectedMs);
    if (expectedMs > timeLeftMs()) {
        if (m_openAttempts > 0 || (!mayConnect && probePeers()))
            return;
        return giveUp("the best server's expected response time exceeds the deadline", RefusalReason::Busy, expectedMs - timeLeftMs());
    }
    if (m_openAttempts == 0 && !completesBeforeStop(expectedMs))
        return giveUp(stoppingCause, RefusalReason::Stopping, 0);
    // The servers that can't be reached may be better than the few left to choose from.
    if (!mayConnect && signal.failureShare > maxFailureShareBeforePeers && m_openAttempts == 0 && probePeers())
        return;
    send(backends[best], expectedMs);
}

void RequestForwarder::placeAtPeer()
{
    std::vector<Decisions::PeerSignal> signals;
    std::vector<std::shared_ptr<Backend>> peers;
    for (const auto& probe : m_probes) {
        if (!probe.answered)
            continue;
        signals.push_back(m_router.peers().signal(*probe.backend));
        peers.push_back(probe.backend);
    }
    if (peers.empty())
        return onNoPeer();
    sendToPeer(peers[Decisions::bestPeer(signals)]);
}

void RequestForwarder::onNoPeer()
{
    if (m_openAttempts > 0)
        return; // an earlier attempt may still be answered
    if (!m_body.maySendAgain())
        return giveUp("another gateway returned the request when a part of its body had been sent", RefusalReason::Shed, 0);
    if (probePeers())
        return;
    if (m_authenticator == Authenticator::Receiver)
        return giveUp("no other gateway can authenticate the caller", RefusalReason::Outdated, 0);
    if (!m_hasProbedServers)
        return probeServers(CandidateScope::OwnDomain);
    giveUp("neither a server with room nor another gateway answered", m_foundFullServers ? RefusalReason::Busy : RefusalReason::NoReport, 0);
}

std::string RequestForwarder::requestBytes(const Net::Header& extra) const
{
    const auto& names = m_router.options().headers;
    const auto& received = m_exchange->request();
    Net::Request request { .method = received.method, .target = received.target, .headers = received.headers, .body = {} };
    std::erase_if(request.headers, [&](const auto& header) {
        return Net::equalsIgnoringCase(header.name, names.deadline) || Net::equalsIgnoringCase(header.name, names.expectInstance)
            || Net::equalsIgnoringCase(header.name, forwardedHeader);
    });
    auto isToReceiver = m_authenticator == Authenticator::Receiver;
    // The gateway that this request comes from needed keys, whatever the configuration here says.
    auto isFromUnauthenticated = m_origin == RequestOrigin::Gateway && m_authenticator == Authenticator::Self;
    if (m_router.needsKeys() || isToReceiver || isFromUnauthenticated) {
        // The name of the organisation is the caller's, unless another gateway has authenticated the caller and set it.
        std::erase_if(request.headers, [&](const auto& header) {
            return (!isToReceiver && Net::equalsIgnoringCase(header.name, names.apiKey))
                || (m_authenticator != Authenticator::Sender && Net::equalsIgnoringCase(header.name, names.organisation));
        });
    }
    if (m_organisation)
        request.headers.push_back({ names.organisation, m_organisation->name });
    request.headers.push_back({ names.deadline, std::to_string(std::max(1L, static_cast<long>(timeLeftMs()))) });
    request.headers.push_back(extra);
    if (m_body.isWhole())
        return Net::headBytes(request, Net::Framing::Length, received.body.size()) += received.body;
    auto isChunked = m_exchange->bodyFraming() == Net::Framing::Chunked;
    return Net::headBytes(request, m_exchange->bodyFraming(), m_exchange->requestBodyLength()) += isChunked ? Net::chunkBytes(received.body) : received.body;
}

void RequestForwarder::send(const std::shared_ptr<Backend>& backend, double expectedMs)
{
    auto& router = m_router;
    auto isHedge = std::exchange(m_isHedging, false);
    if (!confirmCaller())
        return;
    if (m_attemptCount == 0)
        router.placementTimes().add(router.loop().now() - m_exchange->received());
    ++m_attemptCount;
    ++router.counters().attempts;
    m_tried.insert(backend->record().id);
    m_lastServer = backend->record().id;
    auto index = m_attempts.size();
    startAttempt({ .backend = backend, .connection = {}, .sentAt = router.loop().now(), .expectedMs = expectedMs, .isHedge = isHedge },
        requestBytes({ router.options().headers.expectInstance, backend->record().id }));
    if (m_attempts[index].connection && isSafeToRepeat())
        armHedgeTimer();
}

// The other gateway makes all further attempts.
void RequestForwarder::sendToPeer(const std::shared_ptr<Backend>& peer)
{
    auto& router = m_router;
    if (!confirmCaller())
        return;
    if (m_openAttempts == 0 && !completesBeforeStop(router.expectedServiceTimeMs(m_route)))
        return giveUp(stoppingCause, RefusalReason::Stopping, 0);
    auto isToReceiver = m_authenticator == Authenticator::Receiver;
    ++router.counters().forwarded;
    router.counters().forwardedAsOutdated += isToReceiver ? 1 : 0;
    m_lastServer = peer->record().id;
    auto attemptsLeft = std::max(1, m_route.maxAttempts - m_attemptCount);
    ForwardedRequest forwarded { .route = m_route, .service = m_service };
    forwarded.route.maxAttempts = attemptsLeft;
    m_attemptCount += attemptsLeft;
    if (!isToReceiver)
        router.countHandedOver(m_service);
    m_router.log().log(EventId::CallForwarded,
        { { "request", m_id },
            { "service", m_service },
            { "entry", peer->record().id },
            { "domain", peer->record().failureDomain },
            { "left_ms", fmt::format("{:.1f}", timeLeftMs()) },
            { "cause", isToReceiver ? "the configuration is too old to tell whether the API key is valid" : "no server of the service answers" } });
    startAttempt({ .backend = peer, .attemptsGiven = attemptsLeft, .connection = {}, .sentAt = router.loop().now() },
        requestBytes({ forwardedHeader, isToReceiver ? toHeaderValue(UnauthenticatedRequest { router.configuration()->version }) : toHeaderValue(forwarded) }));
}

std::function<bool(const Net::ResponseHead&)> RequestForwarder::responseMatcher(bool isPeer) const
{
    // Servers repeat the id of a request in each response to it. One with another id answers an earlier request, one without any a load probe, or
    // it is bytes of a faulty server that belong to no request. Other gateways name no id in what they answer themselves, and in answers
    // to load probes they name themselves.
    return [id = m_id, isPeer, &names = m_router.options().headers](const Net::ResponseHead& head) {
        const auto& headers = head.response.headers;
        if (auto echoed = Net::findHeader(headers, names.requestId))
            return *echoed == id;
        if (!isPeer && !id.empty())
            return false;
        auto isOfRequest = head.response.status == Misdirected || Net::findHeader(headers, names.notExecuted);
        return isOfRequest || !Net::findHeader(headers, names.instanceId);
    };
}

void RequestForwarder::startAttempt(const Attempt& attempt, std::string bytes)
{
    auto keepAlive = shared_from_this();
    auto index = m_attempts.size();
    attempt.backend->beginRequest();
    m_attempts.push_back(attempt);
    ++m_openAttempts;
    std::weak_ptr<RequestForwarder> weak = weak_from_this();
    auto expectsBody = m_exchange->request().method != "HEAD";
    auto maxIdle = isSafeToRepeat() ? Common::Duration::max() : Common::Duration(maxIdleForUnsafeRequests);
    auto limit = m_deadline - attempt.sentAt + std::chrono::seconds(1); // m_deadlineTimer fires first
    std::function<void()> roomForBody;
    if (!m_body.isWhole()) {
        m_bodyAttempt = index;
        roomForBody = [weak] {
            if (auto self = weak.lock())
                self->forwardBody();
        };
    }
    m_attempts[index].connection = attempt.backend->send(std::move(bytes), expectsBody, limit, maxIdle,
        { .answered = [weak, index](Net::ResponseHead&& head) {
             if (auto self = weak.lock())
                 self->onAnswer(index, std::move(head)); },
            .failed = [weak, index](const Net::ClientFailure& failure) {
                if (auto self = weak.lock())
                    self->onFailure(index, failure); },
            .matchesRequest = responseMatcher(attempt.isToPeer()),
            .started = [weak, index](Net::ResponseHead&& head) {
                if (auto self = weak.lock())
                    self->onResponseStarted(index, std::move(head)); },
            .continued = [weak, index](std::string&& part) {
                if (auto self = weak.lock())
                    self->onResponsePart(index, std::move(part)); },
            .completed = [weak, index] {
                if (auto self = weak.lock())
                    self->onResponseCompleted(index); },
            .roomForBody = std::move(roomForBody) });
    forwardBody();
}

void RequestForwarder::onBody()
{
    if (m_ended)
        return;
    auto keepAlive = shared_from_this();
    auto fault = m_exchange->bodyFault();
    if (!fault)
        return forwardBody();
    if (m_passedOn)
        return cutResponse("the caller did not complete the request's body");
    // 408 promises that no server has run the request.
    fail(m_mayHaveExecuted ? BadGateway : *fault, "the request's body is invalid, too large or has stalled");
}

void RequestForwarder::forwardBody()
{
    if (m_ended || !m_bodyAttempt || !m_attempts[*m_bodyAttempt].connection)
        return;
    auto connection = m_attempts[*m_bodyAttempt].connection;
    auto isChunked = m_exchange->bodyFraming() == Net::Framing::Chunked;
    while (connection->hasRoom()) {
        auto part = m_exchange->takeBody();
        if (!part.empty()) {
            m_body.onPartForwarded();
            std::string().swap(m_exchange->request().body);
            connection->append(isChunked ? Net::chunkBytes(part) : part);
            continue;
        }
        if (m_exchange->isBodyReceived()) {
            m_bodyAttempt.reset();
            if (isChunked)
                connection->append(Net::lastChunk);
            connection->endBody();
        }
        return;
    }
}

RequestForwarder::Attempt RequestForwarder::finishAttempt(std::size_t index)
{
    auto attempt = m_attempts[index];
    m_attempts[index].connection.reset();
    --m_openAttempts;
    attempt.backend->endRequest();
    return attempt;
}

void RequestForwarder::onAnswer(std::size_t index, Net::ResponseHead&& head)
{
    if (m_ended)
        return;
    auto keepAlive = shared_from_this();
    onAttemptAnswered(finishAttempt(index), std::move(head.response));
}

RequestForwarder::AnswerUse RequestForwarder::answerUse(const Attempt& attempt, const Net::Response& response) const
{
    const auto& headers = response.headers;
    auto isNotExecuted = (!attempt.isToPeer() && response.status == Misdirected) || Net::findHeader(headers, m_router.options().headers.notExecuted);
    if (isNotExecuted)
        return AnswerUse::Rejection;
    // What another gateway refuses itself has not run.
    auto isOfServer = !attempt.isToPeer() || Net::findHeader(headers, servedByHeader);
    return !isSafeToRepeat() && isOfServer && promisesNotExecuted(response.status) ? AnswerUse::UnprovenRejection : AnswerUse::PassOn;
}

// Called when an attempt, which is not open any more, has got a response that is not passed on in parts.
void RequestForwarder::onAttemptAnswered(const Attempt& attempt, Net::Response&& response)
{
    if (answerUse(attempt, response) == AnswerUse::UnprovenRejection)
        return onUnprovenRejection(attempt, std::move(response));
    if (attempt.isToPeer())
        return onPeerAnswer(attempt, std::move(response));
    if (response.status == Misdirected) {
        m_router.log().log(EventId::ServerMisdirected,
            { { "request", m_id }, { "server", attempt.backend->record().id }, { "address", attempt.backend->record().address } });
        attempt.backend->setMisdirected();
        return retryOrGiveUp("a different server answered at the address");
    }
    attempt.backend->learnFrom(response);
    if (Net::findHeader(response.headers, m_router.options().headers.notExecuted)) {
        // One that reports room rejects for another reason, and will probably do so again.
        if (Decisions::hasCapacity(attempt.backend->signal(m_router.loop().now()), m_route.priority, m_router.options().placement))
            attempt.backend->recordFailure();
        m_router.hedgePolicy(m_service).onPushback(m_router.loop().now());
        return retryOrGiveUp("the server rejected the request without executing it");
    }
    learnFromResponse(attempt, response);
    if (isServerFailure(response.status) && isSafeToRepeat()) {
        m_mayHaveExecuted = true;
        addServedBy(response, attempt);
        m_serverFailure = std::move(response);
        return retryOrGiveUp("the server answered with a 5xx status");
    }
    for (const auto& other : m_attempts) {
        if (other.connection)
            learnFromOvertaken(other);
    }
    respond(std::move(response), attempt);
}

// A server may have run the request before it failed with this status. Passed on, the status would have the caller send the request again.
void RequestForwarder::onUnprovenRejection(const Attempt& attempt, Net::Response&& response)
{
    m_mayHaveExecuted = true;
    if (attempt.isToPeer()) {
        learnFromPeerResponse(response);
    } else {
        attempt.backend->learnFrom(response);
        attempt.backend->recordFailure();
    }
    ++m_router.counters().unprovenRejections;
    if (m_openAttempts > 0)
        return; // another attempt may still be answered
    fail(BadGateway, fmt::format("the server answered {} without stating that it did not execute the request", response.status));
}

void RequestForwarder::onPeerAnswer(const Attempt& attempt, Net::Response&& response)
{
    auto notExecuted = Net::findHeader(response.headers, m_router.options().headers.notExecuted);
    if (!notExecuted) {
        learnFromPeerResponse(response);
        return respond(std::move(response), attempt);
    }
    if (*notExecuted == unreachableReason || *notExecuted == outdatedReason) {
        m_router.peers().avoid(peerNeed(), *attempt.backend);
        return onReturnedByPeer(attempt);
    }
    // Others are as undecided until they have seen the store again. The gateway takes requests with other keys.
    if (*notExecuted == undecidedReason) {
        m_attemptCount -= attempt.attemptsGiven;
        return giveUp("another gateway does not know the API key, which may be new", RefusalReason::Outdated, 0);
    }
    if (m_openAttempts > 0)
        return;
    if (m_serverFailure || m_mayHaveExecuted)
        return giveUp("another gateway refused the request", RefusalReason::Shed, 0);
    auto retryAfter = Net::findHeader(response.headers, m_router.options().headers.retryAfter).value_or("");
    respondRefused("another gateway refused the request", std::string(retryAfter), false);
}

void RequestForwarder::onPeerFailure(const Attempt& attempt, const Net::ClientFailure& failure)
{
    m_router.peers().avoid(peerNeed(), *attempt.backend);
    if (!failure.bytesSent)
        return onReturnedByPeer(attempt);
    m_mayHaveExecuted = true;
    retryOrGiveUpAfterFailure();
}

void RequestForwarder::onReturnedByPeer(const Attempt& attempt)
{
    m_attemptCount -= attempt.attemptsGiven;
    if (m_authenticator != Authenticator::Receiver)
        m_router.countRequest(m_service);
    onNoPeer();
}

void RequestForwarder::learnFromResponse(const Attempt& attempt, const Net::Response& response)
{
    auto took = m_router.loop().now() - attempt.sentAt;
    m_router.serverTimes().add(took);
    // A server that fails a request may not have begun to run it.
    if (isServerFailure(response.status))
        return attempt.backend->recordFailure();
    m_router.crashSuspects().recordAnswer(m_identity);
    if (!m_body.isResponseTimed())
        return;
    auto tookMs = Common::toMilliseconds(took);
    attempt.backend->recordAnswer(tookMs, attempt.expectedMs);
    if (auto& policy = m_router.hedgePolicy(m_service); policy.isEnabled() && isSafeToRepeat() && !attempt.isHedge)
        policy.onAttemptTime(m_route.name, took, m_router.loop().now());
    auto factor = attempt.expectedMs / std::max(1.0, m_router.expectedServiceTimeMs(m_route));
    m_router.updateServiceTime(m_route, tookMs, factor);
}

void RequestForwarder::learnFromPeerResponse(Net::Response& response)
{
    auto id = Net::findHeader(response.headers, servedByHeader);
    // It has passed through this gateway: a server that says that it leaves, or names a limit, counts on it.
    if (auto server = id ? m_router.backends().find(std::string(*id)) : nullptr)
        server->learnFrom(response);
    std::erase_if(response.headers, [](const auto& header) { return Net::equalsIgnoringCase(header.name, servedByHeader); });
}

void RequestForwarder::addServedBy(Net::Response& response, const Attempt& attempt) const
{
    if (m_origin == RequestOrigin::Gateway && attempt.backend && !attempt.isToPeer())
        response.headers.push_back({ servedByHeader, attempt.backend->record().id });
}

void RequestForwarder::onResponseStarted(std::size_t index, Net::ResponseHead&& head)
{
    if (m_ended || m_passedOn)
        return;
    auto keepAlive = shared_from_this();
    if (answerUse(m_attempts[index], head.response) != AnswerUse::PassOn) {
        // The rest of its body is not needed.
        auto attempt = m_attempts[index];
        closeAttempt(m_attempts[index]);
        return onAttemptAnswered(attempt, std::move(head.response));
    }
    m_passedOn = index;
    m_passedOnStatus = head.response.status;
    m_router.loop().cancel(m_probeTimer);
    m_router.loop().cancel(m_hedgeTimer);
    ++m_probeRound;
    for (std::size_t i = 0; i < m_attempts.size(); ++i) {
        if (i == index || !m_attempts[i].connection)
            continue;
        learnFromOvertaken(m_attempts[i]);
        closeAttempt(m_attempts[i]);
    }
    if (m_attempts[index].isToPeer())
        learnFromPeerResponse(head.response);
    else {
        m_attempts[index].backend->learnFrom(head.response);
        learnFromResponse(m_attempts[index], head.response);
        addServedBy(head.response, m_attempts[index]);
    }
    auto length = head.framing == Net::Framing::Length ? std::optional(head.length) : std::nullopt;
    m_exchange->begin(std::move(head.response), length);
    pauseWhileBacklogged();
}

void RequestForwarder::onResponsePart(std::size_t index, std::string&& part)
{
    if (m_ended || m_passedOn != index)
        return;
    auto keepAlive = shared_from_this();
    m_exchange->append(part);
    pauseWhileBacklogged();
}

// Reads no more from the server until the caller has taken most of what was read.
void RequestForwarder::pauseWhileBacklogged()
{
    if (m_ended || !m_exchange->isBacklogged())
        return;
    m_attempts[*m_passedOn].connection->setReading(false);
    std::weak_ptr<RequestForwarder> weak = weak_from_this();
    m_exchange->onRoom([weak] {
        auto self = weak.lock();
        if (self && !self->m_ended)
            self->m_attempts[*self->m_passedOn].connection->setReading(true);
    });
}

void RequestForwarder::onResponseCompleted(std::size_t index)
{
    if (m_ended || m_passedOn != index)
        return;
    auto keepAlive = shared_from_this();
    recordAnswered(m_passedOnStatus, finishAttempt(index));
    auto exchange = m_exchange;
    finish();
    exchange->end();
}

// Ends a response that can't be completed. The caller sees that it is incomplete.
void RequestForwarder::cutResponse(const char* cause)
{
    ++m_router.counters().failed;
    ++m_router.counters().cut;
    auto fields = logFields("cut");
    fields.push_back({ "status", std::to_string(m_passedOnStatus) });
    fields.push_back({ "cause", cause });
    m_router.log().log(EventId::CallFailed, std::move(fields));
    auto exchange = m_exchange;
    finish();
    exchange->abort({ .status = BadGateway, .reason = {}, .headers = {}, .body = {} });
}

void RequestForwarder::onFailure(std::size_t index, const Net::ClientFailure& failure)
{
    if (m_ended)
        return;
    auto keepAlive = shared_from_this();
    auto attempt = finishAttempt(index);
    attempt.backend->recordFailure();
    m_router.log().log(EventId::ServerUnreachable,
        { { "request", m_id }, { "server", attempt.backend->record().id }, { "fault", std::string(Net::failureName(failure.kind)) }, { "sent", failure.bytesSent ? "true" : "false" }, { "identity", fmt::format("{:016x}", m_identity) } });
    if (m_passedOn)
        return cutResponse("the server ended the connection in the middle of the response");
    if (attempt.isToPeer())
        return onPeerFailure(attempt, failure);
    if (failure.bytesSent)
        m_mayHaveExecuted = true;
    auto wasClosed = failure.kind == Net::FailureKind::Closed || failure.kind == Net::FailureKind::Reset;
    if (!failure.bytesSent || !wasClosed)
        return retryOrGiveUpAfterFailure();
    if (!isSafeToRepeat()) {
        m_router.checkCrash(m_identity, m_id, attempt.backend, [] {});
        return retryOrGiveUpAfterFailure();
    }
    // Another server is only tried once it is known whether this one has ended.
    std::weak_ptr<RequestForwarder> weak = weak_from_this();
    m_router.checkCrash(m_identity, m_id, attempt.backend, [weak] {
        if (auto self = weak.lock())
            self->retryOrGiveUpAfterFailure();
    });
}

void RequestForwarder::retryOrGiveUpAfterFailure()
{
    if (m_ended)
        return;
    auto keepAlive = shared_from_this();
    const auto* cause = "the connection ended before a complete response";
    if (m_mayHaveExecuted && !isSafeToRepeat())
        return fail(BadGateway, cause);
    retryOrGiveUp(cause);
}

void RequestForwarder::retryOrGiveUp(const char* cause)
{
    if (m_openAttempts > 0)
        return; // another attempt may still be answered
    m_router.loop().cancel(m_hedgeTimer);
    m_isHedging = false;
    auto& router = m_router;
    auto isRetryAllowed = m_body.maySendAgain() && m_attemptCount < m_route.maxAttempts && timeLeftMs() > minTimeLeftMs && router.crashSuspects().mayRetry(m_identity);
    if (isRetryAllowed && router.retryBudget(m_service).take(router.loop().now())) {
        ++router.counters().retries;
        auto fields = logFields("again");
        fields.push_back({ "cause", cause });
        router.log().log(EventId::CallRetried, std::move(fields));
        return selectTarget();
    }
    giveUp(cause, RefusalReason::Shed, 0);
}

// Answers with a server's error response if there is one, else with 502 if a server may have executed the request. Refuses
// with 503 only when it is certain that no server did.
void RequestForwarder::giveUp(const char* cause, RefusalReason reason, double excessMs)
{
    if (m_serverFailure)
        return respond(std::move(*m_serverFailure), {});
    if (m_mayHaveExecuted)
        return fail(BadGateway, cause);
    refuse(reason, excessMs);
}

void RequestForwarder::armHedgeTimer()
{
    if (m_attemptCount >= m_route.maxAttempts || m_hedgeTimer != 0 || !m_body.mayHedge())
        return;
    auto expectedMs = m_attempts.back().expectedMs;
    auto dueMs = std::max(minHedgeDelayMs, hedgeDelayFactor * expectedMs);
    const auto& policy = m_router.hedgePolicy(m_service);
    if (!policy.isEnabled()) {
        if (dueMs + minTimeLeftMs <= timeLeftMs())
            startHedgeTimer(Common::fromMilliseconds(dueMs));
        return;
    }
    auto due = policy.due(m_route.name,
        {
            .expected = Common::fromMilliseconds(expectedMs),
            .hedgeExpected = Common::fromMilliseconds(std::max(minTimeLeftMs, m_router.expectedServiceTimeMs(m_route))),
            .left = Common::fromMilliseconds(timeLeftMs()),
            .fallback = Common::fromMilliseconds(dueMs),
        },
        m_router.loop().now());
    if (due)
        startHedgeTimer(*due);
}

void RequestForwarder::startHedgeTimer(Common::Duration delay)
{
    std::weak_ptr<RequestForwarder> weak = weak_from_this();
    m_hedgeTimer = m_router.loop().after(delay, [weak] {
        if (auto self = weak.lock())
            self->onHedgeDue();
    });
}

void RequestForwarder::onHedgeDue()
{
    m_hedgeTimer = 0;
    auto& router = m_router;
    // A request under which a server has ended may end the next one too.
    if (router.crashSuspects().crashes(m_identity) > 0)
        return;
    if (m_ended || m_openAttempts != 1 || isProbing())
        return;
    if (router.hedgePolicy(m_service).isEnabled())
        return beginHedge();
    if (!router.retryBudget(m_service).take(router.loop().now()))
        return;
    ++router.counters().retries;
    auto fields = logFields("second send");
    fields.push_back({ "cause", "the first attempt exceeded its hedging delay" });
    router.log().log(EventId::CallRetried, std::move(fields));
    for (const auto& attempt : m_attempts) {
        if (attempt.connection)
            attempt.backend->recordFailure();
    }
    selectTarget();
}

void RequestForwarder::beginHedge()
{
    auto& router = m_router;
    auto now = router.loop().now();
    auto verdict = router.hedgePolicy(m_service).check(router.retryBudget(m_service).available(now), now);
    if (verdict != Decisions::HedgeVerdict::Allowed)
        return denyHedge(Decisions::hedgeVerdictName(verdict));
    if (router.backends().reachability(m_service) != Decisions::Reachability::Reachable)
        return denyHedge("servers unreachable");
    m_isHedging = true;
    probeServers(CandidateScope::OwnDomain);
}

void RequestForwarder::sendHedge(const std::shared_ptr<Backend>& backend, double expectedMs)
{
    auto& router = m_router;
    auto now = router.loop().now();
    auto& policy = router.hedgePolicy(m_service);
    // Other requests may have used the budgets up since the load probes were sent.
    auto verdict = policy.check(router.retryBudget(m_service).available(now), now);
    if (verdict != Decisions::HedgeVerdict::Allowed || !router.retryBudget(m_service).take(now))
        return denyHedge(Decisions::hedgeVerdictName(verdict));
    policy.take();
    ++router.counters().retries;
    ++router.counters().hedges;
    m_hedgeOutcome = "sent";
    auto fields = logFields("second send");
    fields.push_back({ "cause", "the open attempt exceeded its hedging delay" });
    router.log().log(EventId::CallRetried, std::move(fields));
    send(backend, expectedMs);
}

void RequestForwarder::denyHedge(const char* cause)
{
    m_isHedging = false;
    if (!std::exchange(m_wasHedgeDenied, true))
        ++m_router.counters().hedgesDenied;
    m_hedgeOutcome = fmt::format("denied: {}", cause);
    // At twice the age, so that the slowest requests are tried again and the load probes for them remain few.
    auto delay = openAttemptAge();
    auto needed = delay + Common::fromMilliseconds(std::max(minTimeLeftMs, m_router.expectedServiceTimeMs(m_route)));
    if (needed <= Common::fromMilliseconds(timeLeftMs()))
        startHedgeTimer(delay);
}

Common::Duration RequestForwarder::openAttemptAge() const
{
    auto it = std::find_if(m_attempts.begin(), m_attempts.end(), [](const Attempt& attempt) { return attempt.connection != nullptr; });
    return it != m_attempts.end() ? m_router.loop().now() - it->sentAt : Common::Duration::zero();
}

void RequestForwarder::learnFromOvertaken(const Attempt& attempt)
{
    auto& policy = m_router.hedgePolicy(m_service);
    if (!policy.isEnabled() || attempt.isHedge || attempt.isToPeer())
        return;
    auto age = m_router.loop().now() - attempt.sentAt;
    auto ageMs = Common::toMilliseconds(age);
    policy.onAttemptTime(m_route.name, age, m_router.loop().now());
    // Its response time would have been longer, so it counts for the server too, or a slow server would seem as good as before.
    if (ageMs > std::max(minHedgeDelayMs, hedgeDelayFactor * attempt.expectedMs))
        attempt.backend->recordFailure();
    else if (ageMs > attempt.expectedMs)
        attempt.backend->recordAnswer(ageMs, attempt.expectedMs);
}

void RequestForwarder::respond(Net::Response&& response, const Attempt& attempt)
{
    recordAnswered(response.status, attempt);
    addServedBy(response, attempt);
    auto exchange = m_exchange;
    finish();
    exchange->respond(std::move(response));
}

void RequestForwarder::recordAnswered(int status, const Attempt& attempt)
{
    auto& router = m_router;
    auto tookMs = Common::toMilliseconds(router.loop().now() - m_exchange->received());
    ++router.counters().answered;
    if (attempt.isHedge) {
        ++router.counters().hedgesWon;
        m_hedgeOutcome = "won";
    }
    router.totalTimes().add(router.loop().now() - m_exchange->received());
    auto isSlow = tookMs > slowShareOfGoal * Common::toMilliseconds(m_route.goal);
    if (isSlow || status >= FirstRedirect || m_attemptCount > 1) {
        auto fields = logFields("answered");
        fields.push_back({ "status", std::to_string(status) });
        fields.push_back({ "server_ms", fmt::format("{:.1f}", attempt.backend ? Common::toMilliseconds(router.loop().now() - attempt.sentAt) : 0) });
        router.log().log(EventId::CallAnswered, std::move(fields));
    }
}

void RequestForwarder::refuse(RefusalReason reason, double excessMs)
{
    // The state of this gateway's servers is not why it is refused.
    if (m_authenticator == Authenticator::Receiver && reason != RefusalReason::Blocked && reason != RefusalReason::Memory)
        return rejectCaller(Decisions::AuthenticationVerdict::Outdated);
    auto& router = m_router;
    auto pauseLeft = router.backends().pauseLeft(m_service);
    auto limitLeft = router.backends().limitLeft(m_service);
    // These are refused whatever the servers' state.
    if (reason != RefusalReason::Blocked && reason != RefusalReason::Memory && reason != RefusalReason::Stopping)
        reason = pauseLeft ? RefusalReason::Paused : limitLeft ? RefusalReason::Limited
                                                               : reason;
    auto timeLeft = pauseLeft ? pauseLeft : limitLeft;
    if (reason == RefusalReason::Busy || reason == RefusalReason::Paused || reason == RefusalReason::Limited)
        router.hedgePolicy(m_service).onPushback(router.loop().now());
    auto wait = Decisions::retryAfter({
        .reason = reason,
        .timeLeftMs = timeLeftMs(),
        .excessMs = excessMs,
        .pauseLeftMs = timeLeft ? Common::toMilliseconds(*timeLeft) : 0,
        .jitter = Common::randomUnit(router.loop().hooks()),
    });
    const auto* cause = reason == RefusalReason::Busy ? "busy"
        : reason == RefusalReason::Paused             ? "all servers asked for a pause"
        : reason == RefusalReason::Limited            ? "the limits of all servers are used up"
        : reason == RefusalReason::Shed               ? "shed"
        : reason == RefusalReason::Blocked            ? "servers ended under it"
        : reason == RefusalReason::Memory             ? "the memory for requests and responses is used up"
        : reason == RefusalReason::Stopping           ? stoppingCause
        : reason == RefusalReason::NoReport           ? "no server answered a load probe"
                                                      : "the service has no usable server";
    auto isUnreachable = m_attemptCount == 0 && (reason == RefusalReason::NoReport || reason == RefusalReason::NoServer || reason == RefusalReason::Stopping);
    respondRefused(cause, fmt::format("{:.3f}", std::chrono::duration<double>(wait).count()), isUnreachable);
}

void RequestForwarder::respondRefused(const char* cause, const std::string& retryAfterS, bool isUnreachable)
{
    const auto& names = m_router.options().headers;
    auto fields = logFields("refused");
    fields.push_back({ "cause", cause });
    fields.push_back({ "retry_after_s", retryAfterS });
    m_router.log().log(EventId::CallRefused, std::move(fields));
    Net::Headers headers { { names.retryAfter, retryAfterS } };
    if (m_origin == RequestOrigin::Gateway) {
        headers.push_back({ names.notExecuted, isUnreachable ? unreachableReason : "1" });
        if (isUnreachable)
            m_router.countHandedOver(m_service);
    }
    ++m_router.counters().refused;
    auto exchange = m_exchange;
    finish();
    exchange->respond({ .status = Unavailable, .reason = {}, .headers = std::move(headers), .body = {} });
}

void RequestForwarder::fail(int status, const std::string& cause)
{
    auto& router = m_router;
    ++router.counters().failed;
    auto fields = logFields("failed");
    fields.push_back({ "status", std::to_string(status) });
    fields.push_back({ "cause", cause });
    router.log().log(EventId::CallFailed, std::move(fields));
    auto exchange = m_exchange;
    finish();
    exchange->respond({ .status = status, .reason = {}, .headers = {}, .body = {} });
}

void RequestForwarder::onDeadline()
{
    m_deadlineTimer = 0;
    if (m_ended)
        return;
    if (m_passedOn && m_exchange->isBacklogged())
        return cutResponse("the caller had not read the whole response before the deadline");
    for (const auto& attempt : m_attempts) {
        if (!attempt.connection)
            continue;
        attempt.backend->recordFailure();
        if (auto& policy = m_router.hedgePolicy(m_service); policy.isEnabled() && !m_hedgeOutcome.empty() && !attempt.isHedge)
            policy.onAttemptTime(m_route.name, m_router.loop().now() - attempt.sentAt, m_router.loop().now());
    }
    if (m_passedOn)
        return cutResponse("the server had not sent the whole response before the deadline");
    if (m_serverFailure)
        return respond(std::move(*m_serverFailure), {});
    if (m_attemptCount == 0 || (m_openAttempts == 0 && !m_mayHaveExecuted))
        return refuse(RefusalReason::Busy, 0);
    fail(GatewayTimeout, "no response before the deadline");
}

void RequestForwarder::abandon()
{
    if (m_ended)
        return;
    ++m_router.counters().abandoned;
    m_router.log().log(EventId::CallAbandoned, logFields("abandoned"));
    finish();
}

void RequestForwarder::closeAttempt(Attempt& attempt)
{
    attempt.backend->abandon(attempt.connection);
    attempt.backend->endRequest();
    attempt.connection.reset();
    --m_openAttempts;
}

// Ends all timers and open attempts. Servers cancel a request when its connection is closed.
void RequestForwarder::finish()
{
    m_ended = true;
    m_router.loop().cancel(m_probeTimer);
    m_router.loop().cancel(m_deadlineTimer);
    m_router.loop().cancel(m_hedgeTimer);
    for (auto& attempt : m_attempts) {
        if (attempt.connection)
            closeAttempt(attempt);
    }
    m_exchange->onClientClosed({});
    m_exchange->onRoom({});
    m_exchange->onBody({});
    m_router.onRequestFinished(shared_from_this());
}

std::vector<Common::EventField> RequestForwarder::logFields(const char* outcome) const
{
    auto now = m_router.loop().now();
    std::vector<Common::EventField> fields {
        { "request", m_id },
        { "outcome", outcome },
        { "route", m_route.name },
        { "service", m_service },
        { "organisation", m_organisation ? m_organisation->name : "" },
        { "configuration", std::to_string(m_router.configuration()->version) },
        { "server", m_lastServer },
        { "sends", std::to_string(m_attemptCount) },
        { "asked", std::to_string(m_probesSent) },
        { "ms", fmt::format("{:.1f}", Common::toMilliseconds(now - m_exchange->received())) },
        { "left_ms", fmt::format("{:.1f}", timeLeftMs()) },
        { "inputs", m_lastInputs },
    };
    if (!m_hedgeOutcome.empty())
        fields.push_back({ "hedge", m_hedgeOutcome });
    return fields;
}

}
