#include "Gateway/RequestRouter.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "Common/Hash.h"
#include "Gateway/ForwardedRequest.h"
#include "Gateway/RequestForwarder.h"

namespace Gateway {

namespace {

    // Assumed service time before the first response, as a share of the route's latency goal.
    constexpr double initialServiceTimeShareOfGoal = 0.4;
    // Weight of the newest response in the moving average of the service time.
    constexpr double serviceTimeGain = 0.05;

    // A server that does not answer within this time after it closed a connection has ended.
    constexpr auto crashCheckTimeout = std::chrono::milliseconds(250);
    // For the rounding of ages on the way from relay to relay.
    constexpr Common::Duration revokeMargin = std::chrono::milliseconds(100);
    // Of a forwarded request that names no time budget. The gateway that forwards it has its own limit.
    constexpr auto forwardedTimeLimit = std::chrono::minutes(10);

    using enum Net::HttpStatus;

    std::vector<Decisions::AllowanceLimit> allowanceLimits(const Organisations& organisations)
    {
        std::vector<Decisions::AllowanceLimit> limits;
        for (const auto& organisation : organisations.all()) {
            if (organisation.hasAllowance())
                limits.push_back({ .organisation = organisation.name, .ratePerSecond = organisation.ratePerSecond, .burst = organisation.burst });
        }
        return limits;
    }

    std::uint64_t incarnationDigest(const ServerRecord& record)
    {
        return Common::hash(record.id, static_cast<std::uint64_t>(record.startedMs));
    }

}

RequestRouter::RequestRouter(Net::EventLoop& loop, Common::EventLog& log, Backends& backends, PeerGateways& peers, RequestRouterOptions options)
    : m_loop(loop)
    , m_log(log)
    , m_backends(backends)
    , m_peers(peers)
    , m_options(std::move(options))
    , m_allowances(m_options.allowances)
{
}

RequestRouter::~RequestRouter() = default;

bool RequestRouter::apply(std::shared_ptr<const Configuration> configuration)
{
    if (m_configuration && configuration->version <= m_configuration->version)
        return false;
    auto before = m_configuration ? m_configuration->version : 0;
    m_configuration = std::move(configuration);
    m_backends.setServices(m_configuration->services);
    m_allowances.setLimits(allowanceLimits(m_configuration->organisations));
    for (const auto& route : m_configuration->routes) {
        if (!route.unknownKind.empty() && m_unknownKinds.insert(route.unknownKind).second)
            m_log.log(Common::EventId::RouteKindUnknown, { { "kind", route.unknownKind }, { "route", route.name } });
    }
    std::erase_if(m_splits, [&](const auto& row) {
        auto it = std::find_if(m_configuration->routes.begin(), m_configuration->routes.end(), [&](const auto& route) { return route.name == row.first; });
        return it == m_configuration->routes.end();
    });
    auto isRoute = [&](const std::string& name) {
        return std::any_of(m_configuration->routes.begin(), m_configuration->routes.end(), [&](const auto& route) { return route.name == name; });
    };
    for (auto& [service, policy] : m_hedgePolicies)
        policy.retainRoutes(isRoute);
    m_log.log(Common::EventId::ConfigurationApplied,
        { { "version", std::to_string(m_configuration->version) }, { "before", std::to_string(before) }, { "routes", std::to_string(m_configuration->routes.size()) } });
    return true;
}

void RequestRouter::setGatewayCount(int gatewayCount)
{
    m_gatewayCount = std::max(1, gatewayCount);
    m_options.retries.entries = m_gatewayCount;
    for (auto& [service, retryBudget] : m_retryBudgets)
        retryBudget.setEntries(m_gatewayCount);
    m_options.hedging.gateways = m_gatewayCount;
    for (auto& [service, policy] : m_hedgePolicies)
        policy.setGateways(m_gatewayCount);
    m_backends.setGatewayCount(m_gatewayCount);
    m_probeBudget.setRate(m_options.probesPerServer * static_cast<double>(m_backends.size()) / m_gatewayCount, m_loop.now());
}

Decisions::WindowedRetryBudget& RequestRouter::retryBudget(const std::string& service)
{
    return m_retryBudgets.try_emplace(service, m_options.retries).first->second;
}

Decisions::HedgePolicy& RequestRouter::hedgePolicy(const std::string& service)
{
    return m_hedgePolicies.try_emplace(service, m_options.hedging).first->second;
}

void RequestRouter::countRequest(const std::string& service)
{
    retryBudget(service).onRequest(m_loop.now());
    hedgePolicy(service).onRequest(m_loop.now());
}

void RequestRouter::countHandedOver(const std::string& service)
{
    retryBudget(service).onRequestHandedOver(m_loop.now());
    hedgePolicy(service).onRequestHandedOver();
}

double RequestRouter::expectedServiceTimeMs(const Route& route) const
{
    auto it = m_serviceTimeMs.find(route.name);
    return it != m_serviceTimeMs.end() ? it->second : initialServiceTimeShareOfGoal * Common::toMilliseconds(route.goal);
}

void RequestRouter::updateServiceTime(const Route& route, double tookMs, double factor)
{
    auto& serviceTimeMs = m_serviceTimeMs.try_emplace(route.name, expectedServiceTimeMs(route)).first->second;
    serviceTimeMs += serviceTimeGain * (tookMs / std::max(1.0, factor) - serviceTimeMs);
}

bool RequestRouter::hasMemory(bool isBodyWhole) const
{
    return !m_options.budget || (isBodyWhole ? m_options.budget->takesRequests() : m_options.budget->takesLargeBodies());
}

void RequestRouter::onRequestFinished(const std::shared_ptr<RequestForwarder>& forwarder)
{
    m_forwarders.erase(forwarder);
}

void RequestRouter::checkCrash(std::uint64_t identity, const std::string& requestId, const std::shared_ptr<Backend>& backend, std::function<void()> done)
{
    // A server that is leaving or not registered any more closes its connections without having crashed.
    if (!backend->isUsable())
        return done();
    if (backend->isAvailable(m_loop.now()))
        ++m_counters.probes;
    auto record = backend->record();
    std::weak_ptr<Backend> weak = backend;
    backend->checkAlive(crashCheckTimeout, [this, identity, requestId, record, weak, done = std::move(done)](bool isAlive) {
        auto server = weak.lock();
        if (!isAlive || (server && server->isMisdirected()))
            recordCrash(identity, requestId, record);
        done();
    });
}

void RequestRouter::recordCrash(std::uint64_t identity, const std::string& requestId, const ServerRecord& server)
{
    if (!m_crashSuspects.recordCrash(identity, incarnationDigest(server), m_loop.now()))
        return;
    auto crashes = m_crashSuspects.crashes(identity);
    std::vector<Common::EventField> fields { { "request", requestId }, { "identity", fmt::format("{:016x}", identity) }, { "server", server.id }, { "crashes", std::to_string(crashes) } };
    m_log.log(Common::EventId::ServerCrashed, fields);
    if (m_crashSuspects.isBlocked(identity))
        m_log.log(Common::EventId::CallBlocked, std::move(fields));
    m_options.crashRecorded();
}

std::string RequestRouter::chooseService(const Route& route)
{
    if (route.parts.size() == 1)
        return route.parts.front().service;
    std::vector<double> weights;
    for (const auto& target : route.parts)
        weights.push_back(target.weight);
    auto it = m_splits.find(route.name);
    if (it == m_splits.end() || it->second.weights() != weights)
        it = m_splits.insert_or_assign(route.name, Decisions::WeightedSplit(weights, Common::randomUnit(m_loop.hooks()))).first;
    return route.parts[it->second.next()].service;
}

void RequestRouter::respondNotConfigured(const std::shared_ptr<Net::Exchange>& exchange, const char* cause)
{
    ++m_counters.refused;
    m_log.log(Common::EventId::CallRefused,
        { { "request", std::string(Net::findHeader(exchange->request().headers, m_options.headers.requestId).value_or("")) },
            { "cause", cause } });
    auto wait = Decisions::retryAfter({
        .reason = Decisions::RefusalReason::NotConfigured,
        .timeLeftMs = 3000,
        .excessMs = 0,
        .jitter = Common::randomUnit(m_loop.hooks()),
    });
    exchange->respond({
        .status = Unavailable,
        .reason = {},
        .headers = { { "Retry-After", std::to_string(std::chrono::duration<double>(wait).count()) } },
        .body = {},
    });
}

bool RequestRouter::isConfigurationOutdated() const
{
    auto age = m_options.configurationAge();
    return needsKeys() && m_options.revokeTime && (!age || *age > *m_options.revokeTime - revokeMargin);
}

Decisions::AuthenticationInputs RequestRouter::authenticationInputs(bool isKeyKnown) const
{
    return {
        .needsKey = true,
        .isKeyKnown = isKeyKnown,
        .age = m_options.configurationAge(),
        .maxAge = m_options.revokeTime ? std::optional(*m_options.revokeTime - revokeMargin) : std::nullopt,
        .applyTime = m_options.applyTime,
    };
}

CallerIdentity RequestRouter::identify(const Net::Request& request, const Route& route) const
{
    auto needsKey = needsKeys() && !route.isPublic;
    if (!needsKey)
        return {};
    // A request with several keys has none: which one counts would be a guess.
    auto isKey = [&](const auto& header) { return Net::equalsIgnoringCase(header.name, m_options.headers.apiKey); };
    auto first = std::find_if(request.headers.begin(), request.headers.end(), isKey);
    auto isOnlyOne = first != request.headers.end() && std::find_if(std::next(first), request.headers.end(), isKey) == request.headers.end();
    const auto* organisation = isOnlyOne ? m_configuration->organisations.find(first->value) : nullptr;
    auto verdict = Decisions::authenticate(authenticationInputs(organisation != nullptr));
    return { .verdict = verdict, .organisation = organisation ? std::optional(*organisation) : std::nullopt };
}

void RequestRouter::rejectCaller(const std::shared_ptr<Net::Exchange>& exchange, const Route& route, Decisions::AuthenticationVerdict verdict, const char* notExecuted)
{
    auto id = std::string(Net::findHeader(exchange->request().headers, m_options.headers.requestId).value_or(""));
    auto age = m_options.configurationAge();
    std::vector<Common::EventField> fields {
        { "request", id },
        { "route", route.name },
        { "configuration", std::to_string(m_configuration->version) },
        { "configuration_age_ms", age ? fmt::format("{:.0f}", Common::toMilliseconds(*age)) : "unknown" },
    };
    if (verdict == Decisions::AuthenticationVerdict::Reject) {
        ++m_counters.unauthorized;
        m_log.log(Common::EventId::CallUnauthorized, std::move(fields));
        return exchange->respond({ .status = Unauthorized, .reason = {}, .headers = {}, .body = {} });
    }
    ++m_counters.refused;
    ++m_counters.refusedAsOutdated;
    auto wait = Decisions::retryAfter({
        .reason = Decisions::RefusalReason::Outdated,
        .timeLeftMs = Common::toMilliseconds(timeAllowed(exchange->request(), route.timeout)),
        .excessMs = 0,
        .jitter = Common::randomUnit(m_loop.hooks()),
    });
    auto retryAfterS = fmt::format("{:.3f}", std::chrono::duration<double>(wait).count());
    fields.push_back({ "cause", "the configuration is too old to tell whether the API key is valid" });
    fields.push_back({ "retry_after_s", retryAfterS });
    m_log.log(Common::EventId::CallRefused, std::move(fields));
    Net::Headers headers { { m_options.headers.retryAfter, retryAfterS } };
    if (*notExecuted)
        headers.push_back({ m_options.headers.notExecuted, notExecuted });
    exchange->respond({ .status = Unavailable, .reason = {}, .headers = std::move(headers), .body = {} });
}

void RequestRouter::refuseForAllowance(const std::shared_ptr<Net::Exchange>& exchange, const Route& route, const Organisation& organisation, Common::Duration wait)
{
    ++m_counters.refusedForAllowance;
    auto delay = Decisions::retryAfter({
        .reason = Decisions::RefusalReason::Allowance,
        .pauseLeftMs = Common::toMilliseconds(wait),
        .jitter = Common::randomUnit(m_loop.hooks()),
    });
    auto retryAfterS = fmt::format("{:.3f}", std::chrono::duration<double>(delay).count());
    m_log.log(Common::EventId::CallLimited,
        { { "request", std::string(Net::findHeader(exchange->request().headers, m_options.headers.requestId).value_or("")) },
            { "route", route.name },
            { "organisation", organisation.name },
            { "retry_after_s", retryAfterS } });
    exchange->respond({ .status = TooManyRequests, .reason = {}, .headers = { { m_options.headers.retryAfter, retryAfterS } }, .body = {} });
}

void RequestRouter::serve(const std::shared_ptr<Net::Exchange>& exchange)
{
    ++m_counters.requests;
    if (!m_configuration)
        return respondNotConfigured(exchange, "no configuration received yet");
    serveCaller(exchange, RequestOrigin::Caller);
}

void RequestRouter::serveCaller(const std::shared_ptr<Net::Exchange>& exchange, RequestOrigin origin)
{
    const auto& request = exchange->request();
    const auto* route = m_configuration->find(Net::findHeader(request.headers, "Host").value_or(""), Net::pathOf(request.target));
    if (route && !route->isUsable)
        return respondNotConfigured(exchange, "the route's entry in the configuration can't be used");
    if (!route || route->parts.empty())
        return respondNoRoute(exchange);
    auto identity = identify(request, *route);
    auto isOutdated = identity.verdict == Decisions::AuthenticationVerdict::Outdated;
    auto isForwarded = isOutdated && origin == RequestOrigin::Caller;
    if (identity.verdict != Decisions::AuthenticationVerdict::Serve && !isForwarded)
        return rejectCaller(exchange, *route, identity.verdict, !isOutdated ? "" : isConfigurationOutdated() ? outdatedReason
                                                                                                             : undecidedReason);
    if (!isForwarded && identity.organisation && identity.organisation->hasAllowance()) {
        auto verdict = m_allowances.gate().admit(identity.organisation->name, m_loop.now(), Common::randomUnit(m_loop.hooks()));
        if (!verdict.isAdmitted)
            return refuseForAllowance(exchange, *route, *identity.organisation, verdict.wait);
    }
    auto deadline = exchange->received() + timeAllowed(request, route->timeout);
    start(std::make_shared<RequestForwarder>(*this, exchange,
        RequestPlan {
            .route = *route,
            .service = chooseService(*route),
            .deadline = deadline,
            .origin = origin,
            .authenticator = isForwarded ? Authenticator::Receiver : Authenticator::Self,
            .organisation = isForwarded ? std::nullopt : std::move(identity.organisation),
        }));
}

Common::Duration RequestRouter::timeAllowed(const Net::Request& request, Common::Duration limit) const
{
    auto text = Net::findHeader(request.headers, m_options.headers.deadline);
    double ms = 0;
    auto isValid = text && std::from_chars(text->data(), text->data() + text->size(), ms).ec == std::errc() && ms >= 0;
    return isValid ? std::min(limit, Common::fromMilliseconds(std::min(ms, Common::toMilliseconds(limit)))) : limit;
}

void RequestRouter::start(const std::shared_ptr<RequestForwarder>& forwarder)
{
    m_forwarders.insert(forwarder);
    forwarder->start();
}

void RequestRouter::serveForwarded(const std::shared_ptr<Net::Exchange>& exchange)
{
    auto& request = exchange->request();
    auto text = Net::findHeader(request.headers, forwardedHeader);
    if (!text)
        return respondToPeerProbe(exchange);
    auto forwarded = parseForwardedRequest(std::string(*text));
    auto unauthenticated = parseUnauthenticatedRequest(*text);
    // One with an older configuration than that of the other gateway may hold revoked keys.
    if (unauthenticated && (!m_configuration || m_configuration->version < unauthenticated->configurationVersion))
        return exchange->respond({ .status = Unavailable, .reason = {}, .headers = { { m_options.headers.notExecuted, outdatedReason } }, .body = {} });
    if (!unauthenticated && (!forwarded || !m_configuration)) {
        if (!forwarded)
            m_log.log(Common::EventId::PeerMessageRefused, { { "cause", "malformed header of a forwarded request" }, { "value", std::string(*text) } });
        return exchange->respond({ .status = Unavailable, .reason = {}, .headers = { { m_options.headers.notExecuted, unreachableReason } }, .body = {} });
    }
    ++m_counters.acceptedForwarded;
    std::erase_if(request.headers, [](const auto& header) { return Net::equalsIgnoringCase(header.name, forwardedHeader); });
    if (unauthenticated) {
        ++m_counters.acceptedUnauthenticated;
        return serveCaller(exchange, RequestOrigin::Gateway);
    }
    auto deadline = exchange->received() + timeAllowed(request, forwardedTimeLimit);
    // The other gateway has identified the caller, and named the organisation in the request.
    start(std::make_shared<RequestForwarder>(*this, exchange,
        RequestPlan {
            .route = forwarded->route,
            .service = forwarded->service,
            .deadline = deadline,
            .origin = RequestOrigin::Gateway,
            .authenticator = Authenticator::Sender,
            .organisation = {},
        }));
}

bool RequestRouter::acceptsPeerProbe(const std::string& target) const
{
    if (!m_peers.self().serving || !m_configuration)
        return false;
    auto service = Net::queryValue(target, peerProbeService);
    auto isReached = m_backends.usableCount(service) > 0 && m_backends.reachability(service) == Decisions::Reachability::Reachable;
    if (Net::pathOf(target) == peerProbePath)
        return isReached;
    // A newer configuration may route the request to another service.
    return (isReached || !m_configuration->services.contains(service)) && Decisions::mayAuthenticateForOthers(authenticationInputs(false));
}

// Tells another gateway whether this one takes requests to a service, and its load.
void RequestRouter::respondToPeerProbe(const std::shared_ptr<Net::Exchange>& exchange)
{
    const auto& target = exchange->request().target;
    auto isProbe = Net::pathOf(target) == peerProbePath || Net::pathOf(target) == authenticationProbePath;
    exchange->respond({
        .status = !isProbe ? NotFound : acceptsPeerProbe(target) ? Ok
                                                                 : Unavailable,
        .reason = {},
        // A gateway has no slots: the third figure only completes the report.
        .headers = { { m_options.headers.instanceId, m_peers.self().control }, { m_options.headers.load, fmt::format("{},0,1,100", m_forwarders.size()) } },
        .body = {},
    });
}

void RequestRouter::respondNoRoute(const std::shared_ptr<Net::Exchange>& exchange)
{
    ++m_counters.unknownRoute;
    auto id = Net::findHeader(exchange->request().headers, m_options.headers.requestId).value_or("");
    m_log.log(Common::EventId::CallFailed,
        { { "request", std::string(id) },
            { "cause", "no route matches host and path" },
            { "target", exchange->request().target },
            { "configuration", std::to_string(m_configuration->version) } });
    exchange->respond({ .status = NotFound, .reason = {}, .headers = {}, .body = {} });
}

}
