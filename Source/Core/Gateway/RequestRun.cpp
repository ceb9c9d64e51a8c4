#include "Gateway/RequestRun.h"

#include <algorithm>

#include <fmt/format.h>

namespace Gateway {

namespace {

    using Common::EventId;
    using Decisions::RefusalReason;

    // How long a question for the load may take: in-domain answers take 1 ms, others some 5; what is slower is overloaded or gone.
    constexpr auto questionLimit = std::chrono::milliseconds(250);
    // How long a round waits for its first answer.
    constexpr auto patience = std::chrono::milliseconds(60);
    // How long a round waits for more once one has answered.
    constexpr auto patienceForMore = std::chrono::milliseconds(6);
    // Requests that must not run twice go over connections heard from this recently: an older one may be dead already.
    constexpr auto freshForOnce = std::chrono::milliseconds(500);
    // Shortest time left for which another attempt is worth its cost.
    constexpr double minTimeLeftMs = 20;
    // A second send starts when the first takes this many times the expected time, and never before the floor.
    constexpr double lateFactor = 2.5;
    constexpr double lateFloorMs = 60;
    // Of the questions of a choice, asked in the own failure domain first.
    constexpr double ownDomainShare = 0.5;
    // Random spread of known waits when servers to ask are picked, so that entries do not all ask the same ones.
    constexpr double rankSpread = 0.8;
    constexpr double suspectPenalty = 20;
    // Price of a new connection where one is open to another server.
    constexpr double newConnectionMs = 60;
    // Answers slower than this share of the goal are logged one by one.
    constexpr double slowShareOfGoal = 1.0;

    using enum Net::HttpStatus;

    bool isServerFailure(int status)
    {
        return status >= ServerError;
    }

}

RequestRun::RequestRun(Engine& engine, std::shared_ptr<Net::Exchange> exchange, Route route, std::string service, Common::TimePoint deadline)
    : m_engine(engine)
    , m_exchange(std::move(exchange))
    , m_route(std::move(route))
    , m_service(std::move(service))
    , m_id(Net::findHeader(m_exchange->request().headers, engine.options().headers.requestId).value_or(""))
    , m_deadline(deadline)
{
}

double RequestRun::timeLeftMs() const
{
    return Common::toMilliseconds(m_deadline - m_engine.loop().now());
}

void RequestRun::start()
{
    std::weak_ptr<RequestRun> weak = weak_from_this();
    m_exchange->onGone([weak] {
        if (auto self = weak.lock())
            self->abandon();
    });
    m_engine.allowance(m_service).onRequest(m_engine.loop().now());
    m_deadlineTimer = m_engine.loop().after(m_deadline - m_engine.loop().now(), [weak] {
        if (auto self = weak.lock())
            self->onDeadline();
    });
    ask(Scope::OwnDomain);
}

// Servers not tried yet, those first that look best by what is known; unknown ones look good, so that they are asked too.
std::vector<std::shared_ptr<Backend>> RequestRun::rankedCandidates(Scope scope)
{
    auto& engine = m_engine;
    auto now = engine.loop().now();
    auto workMs = engine.usualWorkMs(m_route);
    auto candidates = engine.backends().candidates(m_service, scope == Scope::OwnDomain, m_tried);
    std::vector<std::pair<double, std::shared_ptr<Backend>>> ranked;
    for (auto& backend : candidates) {
        auto spread = 1 + rankSpread * Common::randomUnit(engine.loop().hooks());
        auto suspectFactor = backend->isSuspect(now) ? suspectPenalty : 1;
        auto connectMs = backend->hasFreeConnection() ? 0 : newConnectionMs;
        ranked.emplace_back(connectMs + spread * suspectFactor * Decisions::placementCostMs(backend->signal(now), workMs, engine.options().placement), std::move(backend));
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    candidates.clear();
    for (auto& [ms, backend] : ranked)
        candidates.push_back(std::move(backend));
    return candidates;
}

// Asks a few servers for their load. The own failure domain goes first: its answers come sooner and its bytes are cheaper.
void RequestRun::ask(Scope scope)
{
    auto& engine = m_engine;
    auto keep = shared_from_this();
    m_scope = scope;
    if (scope == Scope::OwnDomain) {
        ++m_choice;
        m_questions.clear();
        m_questionsLeft = engine.questions().beginServerSelection(engine.loop().now());
    }
    auto candidates = rankedCandidates(scope);
    // The own domain gets the first half; a fraction of a question is asked as often.
    auto share = scope == Scope::OwnDomain ? ownDomainShare * m_questionsLeft : m_questionsLeft;
    auto wanted = static_cast<std::size_t>(share + Common::randomUnit(engine.loop().hooks()));
    auto n = engine.questions().take(std::min(candidates.size(), wanted), engine.loop().now());
    engine.counters().probes += n;
    m_questionsLeft -= static_cast<double>(n);
    if (n == 0 && scope == Scope::OwnDomain)
        return ask(Scope::All);
    if (n == 0) {
        // Nobody may be asked: what is known has to do, be it old.
        if (m_questions.empty()) {
            for (const auto& ownScope : { Scope::OwnDomain, Scope::All }) {
                for (const auto& backend : rankedCandidates(ownScope))
                    m_questions.push_back({ .backend = backend, .answered = true });
            }
        }
        return place();
    }
    std::weak_ptr<RequestRun> weak = weak_from_this();
    m_patience = engine.loop().after(patience, [weak] {
        if (auto self = weak.lock()) {
            self->m_patience = 0;
            self->onPatienceOver();
        }
    });
    m_asked += static_cast<int>(n);
    auto choice = m_choice;
    auto first = m_questions.size();
    for (std::size_t i = 0; i < n; ++i)
        m_questions.push_back({ .backend = candidates[i] });
    for (std::size_t i = 0; i < n; ++i) {
        candidates[i]->probe(questionLimit, [weak, choice, index = first + i](const ProbeAnswer& answer) {
            if (auto self = weak.lock())
                self->onReport(index, choice, answer);
        });
    }
}

void RequestRun::onReport(std::size_t index, std::size_t choice, const ProbeAnswer& answer)
{
    // Questions of an earlier choice have been cleared.
    if (m_ended || choice != m_choice)
        return;
    auto& question = m_questions[index];
    question.answered = answer.answered && question.backend->isUsable();
    question.failed = !question.answered;
    if (!isAsking())
        return;
    auto isOpen = [](const Question& it) { return !it.answered && !it.failed; };
    auto open = std::count_if(m_questions.begin(), m_questions.end(), isOpen);
    if (open == 0) {
        m_engine.loop().cancel(m_patience);
        return onPatienceOver();
    }
    auto answered = std::count_if(m_questions.begin(), m_questions.end(), [](const Question& it) { return it.answered; });
    if (answered != 1)
        return;
    std::weak_ptr<RequestRun> weak = weak_from_this();
    m_engine.loop().cancel(m_patience);
    m_patience = m_engine.loop().after(patienceForMore, [weak] {
        if (auto self = weak.lock()) {
            self->m_patience = 0;
            self->onPatienceOver();
        }
    });
}

void RequestRun::onPatienceOver()
{
    if (m_ended)
        return;
    auto now = m_engine.loop().now();
    const auto& options = m_engine.options().placement;
    auto isGood = [&](const Question& it) { return it.answered && Decisions::startsAtUsualSpeed(it.backend->signal(now), options); };
    if (m_scope == Scope::OwnDomain && std::none_of(m_questions.begin(), m_questions.end(), isGood))
        return ask(Scope::All);
    place();
}

void RequestRun::place()
{
    auto now = m_engine.loop().now();
    const auto& options = m_engine.options().placement;
    std::vector<Decisions::ServerSignal> signals;
    std::vector<std::shared_ptr<Backend>> backends;
    auto full = 0;
    for (const auto& question : m_questions) {
        if (!question.answered || !question.backend->isUsable() || m_tried.contains(question.backend->record().id))
            continue;
        auto signal = question.backend->signal(now);
        if (!Decisions::hasCapacity(signal, m_route.priority, options)) {
            ++full;
            continue;
        }
        signals.push_back(signal);
        backends.push_back(question.backend);
    }
    m_lastInputs = fmt::format("of={} full={}", backends.size() + static_cast<std::size_t>(full), full);
    if (backends.empty()) {
        if (m_open > 0)
            return; // a first send is still under way
        auto reason = full > 0 ? RefusalReason::Busy : m_engine.backends().usable(m_service) == 0 ? RefusalReason::NoServer
                                                                                                  : RefusalReason::NoReport;
        return giveUp("no other server has room or answers", reason, 0);
    }
    auto workMs = m_engine.usualWorkMs(m_route);
    auto best = Decisions::bestServer(signals, workMs, options);
    const auto& signal = signals[best];
    auto expectedMs = Decisions::expectedResponseMs(signal, workMs, options);
    auto reportAge = backends[best]->reportAge(now);
    m_lastInputs = fmt::format("running={} waiting={} slots={} work_factor={:.2f} slowness={:.2f} failures={:.2f} own_domain={} report_ms={} expected_ms={:.0f} of={} full={}", signal.running, signal.waiting, signal.slots, signal.workFactor, signal.slowness, signal.failureShare, signal.sameDomain, reportAge ? fmt::format("{:.0f}", Common::toMilliseconds(*reportAge)) : "none", expectedMs, backends.size(), full);
    if (expectedMs > timeLeftMs()) {
        if (m_open > 0)
            return;
        return giveUp("the best server would answer too late", RefusalReason::Busy, expectedMs - timeLeftMs());
    }
    send(backends[best], expectedMs);
}

std::string RequestRun::requestBytes(const Backend& backend) const
{
    const auto& names = m_engine.options().headers;
    Net::Request request = m_exchange->request();
    std::erase_if(request.headers, [&](const auto& header) { return Net::sameName(header.name, names.deadline) || Net::sameName(header.name, names.expectInstance); });
    request.headers.push_back({ names.deadline, std::to_string(std::max(1L, static_cast<long>(timeLeftMs()))) });
    request.headers.push_back({ names.expectInstance, backend.record().id });
    return Net::toBytes(request);
}

void RequestRun::send(const std::shared_ptr<Backend>& backend, double expectedMs)
{
    auto& engine = m_engine;
    auto keep = shared_from_this();
    auto now = engine.loop().now();
    if (m_sends == 0)
        engine.placeTimes().add(now - m_exchange->received());
    ++m_sends;
    ++engine.counters().sends;
    m_tried.insert(backend->record().id);
    m_lastServer = backend->record().id;
    backend->beginWork();
    auto index = m_flights.size();
    m_flights.push_back({ .backend = backend, .connection = {}, .sentAt = now, .expectedMs = expectedMs });
    ++m_open;
    std::weak_ptr<RequestRun> weak = weak_from_this();
    auto expectsBody = m_exchange->request().method != "HEAD";
    auto freshWithin = mayRepeat() ? Common::Duration::max() : Common::Duration(freshForOnce);
    auto belongs = [id = m_id, name = engine.options().headers.requestId](const Net::ResponseHead& head) {
        auto echoed = Net::findHeader(head.response.headers, name);
        return !echoed || *echoed == id;
    };
    auto limit = m_deadline - now + std::chrono::seconds(1); // the run's own timer ends it first
    m_flights[index].connection = backend->send(requestBytes(*backend), expectsBody, limit, freshWithin,
        { .answered = [weak, index](Net::ResponseHead&& head) {
             if (auto self = weak.lock())
                 self->onAnswer(index, std::move(head)); },
            .failed = [weak, index](Net::ClientFailure failure) {
                if (auto self = weak.lock())
                    self->onFailure(index, failure); },
            .belongs = belongs });
    if (m_flights[index].connection && mayRepeat())
        armSecondSend();
}

RequestRun::Flight RequestRun::endFlight(std::size_t index)
{
    auto flight = m_flights[index];
    m_flights[index].connection.reset();
    --m_open;
    flight.backend->endWork();
    return flight;
}

void RequestRun::onAnswer(std::size_t index, Net::ResponseHead&& head)
{
    if (m_ended)
        return;
    auto keep = shared_from_this();
    auto flight = endFlight(index);
    auto& response = head.response;
    auto now = m_engine.loop().now();
    auto tookMs = Common::toMilliseconds(now - flight.sentAt);
    flight.backend->noteReport(response.headers);
    if (response.status == Misdirected) {
        m_engine.log().log(EventId::ServerMisdirected, { { "request", m_id }, { "server", flight.backend->record().id }, { "address", flight.backend->record().address } });
        flight.backend->setMisdirected();
        return tryAgain("another server has the address");
    }
    if (Net::findHeader(response.headers, m_engine.options().headers.notExecuted)) {
        return tryAgain("the server turned it away unrun");
    }
    m_engine.serverTimes().add(now - flight.sentAt);
    if (isServerFailure(response.status)) {
        flight.backend->noteFailure();
        if (mayRepeat()) {
            m_mayHaveRun = true;
            m_serverFailure = std::move(response);
            return tryAgain("the server failed");
        }
        return deliver(std::move(response), flight);
    }
    flight.backend->noteAnswer(tookMs, flight.expectedMs);
    auto factor = flight.expectedMs / std::max(1.0, m_engine.usualWorkMs(m_route));
    m_engine.learnWork(m_route, tookMs, factor);
    deliver(std::move(response), flight);
}

void RequestRun::onFailure(std::size_t index, Net::ClientFailure failure)
{
    if (m_ended)
        return;
    auto keep = shared_from_this();
    auto flight = endFlight(index);
    flight.backend->noteFailure();
    m_engine.log().log(EventId::ServerUnreachable, { { "request", m_id }, { "server", flight.backend->record().id }, { "fault", std::string(Net::failureName(failure.kind)) }, { "sent", failure.bytesSent ? "true" : "false" } });
    if (failure.bytesSent)
        m_mayHaveRun = true;
    if (failure.bytesSent && !mayRepeat())
        return fail(BadGateway, "the connection ended without an answer");
    tryAgain("the connection ended without an answer");
}

void RequestRun::tryAgain(const char* cause)
{
    if (m_open > 0)
        return; // the other send may still bring the answer
    m_engine.loop().cancel(m_secondSendTimer);
    auto& engine = m_engine;
    auto isAllowed = m_sends < m_route.maxAttempts && timeLeftMs() > minTimeLeftMs;
    if (isAllowed && engine.allowance(m_service).take(engine.loop().now())) {
        ++engine.counters().secondSends;
        auto fields = logFields("again");
        fields.push_back({ "cause", cause });
        engine.log().log(EventId::CallRetried, std::move(fields));
        return ask(Scope::OwnDomain);
    }
    giveUp(cause, RefusalReason::Shed, 0);
}

// The best answer that is left: a server's own failure before one of ours, and "not run" only where that is sure.
void RequestRun::giveUp(const char* cause, RefusalReason reason, double excessMs)
{
    if (m_serverFailure)
        return deliver(std::move(*m_serverFailure), {});
    if (m_mayHaveRun)
        return fail(BadGateway, cause);
    refuse(reason, excessMs);
}

void RequestRun::armSecondSend()
{
    if (m_sends >= m_route.maxAttempts || m_secondSendTimer != 0)
        return;
    auto expectedMs = m_flights.back().expectedMs;
    auto dueMs = std::max(lateFloorMs, lateFactor * expectedMs);
    if (dueMs + minTimeLeftMs > timeLeftMs())
        return;
    std::weak_ptr<RequestRun> weak = weak_from_this();
    m_secondSendTimer = m_engine.loop().after(Common::fromMilliseconds(dueMs), [weak] {
        if (auto self = weak.lock())
            self->onSecondSendDue();
    });
}

void RequestRun::onSecondSendDue()
{
    m_secondSendTimer = 0;
    auto& engine = m_engine;
    if (m_ended || m_open != 1 || isAsking() || !engine.allowance(m_service).take(engine.loop().now()))
        return;
    ++engine.counters().secondSends;
    auto fields = logFields("second send");
    fields.push_back({ "cause", "the first is late" });
    engine.log().log(EventId::CallRetried, std::move(fields));
    for (const auto& flight : m_flights) {
        if (flight.connection)
            flight.backend->noteFailure();
    }
    ask(Scope::OwnDomain);
}

void RequestRun::deliver(Net::Response&& response, const Flight& flight)
{
    auto& engine = m_engine;
    auto tookMs = Common::toMilliseconds(engine.loop().now() - m_exchange->received());
    ++engine.counters().answered;
    engine.totalTimes().add(engine.loop().now() - m_exchange->received());
    auto isSlow = tookMs > slowShareOfGoal * Common::toMilliseconds(m_route.goal);
    if (isSlow || response.status >= FirstRedirect || m_sends > 1) {
        auto fields = logFields("answered");
        fields.push_back({ "status", std::to_string(response.status) });
        fields.push_back({ "server_ms", fmt::format("{:.1f}", flight.backend ? Common::toMilliseconds(engine.loop().now() - flight.sentAt) : 0) });
        engine.log().log(EventId::CallAnswered, std::move(fields));
    }
    auto exchange = m_exchange;
    end();
    exchange->respond(std::move(response));
}

void RequestRun::refuse(RefusalReason reason, double excessMs)
{
    auto& engine = m_engine;
    ++engine.counters().refused;
    auto wait = Decisions::retryAfter({ .reason = reason, .timeLeftMs = timeLeftMs(), .excessMs = excessMs, .jitter = Common::randomUnit(engine.loop().hooks()) });
    auto retryAfter = fmt::format("{:.3f}", std::chrono::duration<double>(wait).count());
    auto fields = logFields("refused");
    fields.push_back({ "cause", reason == RefusalReason::Busy ? "busy" : reason == RefusalReason::Shed ? "shed"
            : reason == RefusalReason::NoReport                                                        ? "no server answers"
                                                                                                       : "no server" });
    fields.push_back({ "retry_after_s", retryAfter });
    engine.log().log(EventId::CallRefused, std::move(fields));
    auto exchange = m_exchange;
    end();
    exchange->respond({ .status = Unavailable, .reason = {}, .headers = { { "Retry-After", retryAfter } }, .body = {} });
}

void RequestRun::fail(int status, const char* cause)
{
    auto& engine = m_engine;
    ++engine.counters().failed;
    auto fields = logFields("failed");
    fields.push_back({ "status", std::to_string(status) });
    fields.push_back({ "cause", cause });
    engine.log().log(EventId::CallFailed, std::move(fields));
    auto exchange = m_exchange;
    end();
    exchange->respond({ .status = status, .reason = {}, .headers = {}, .body = {} });
}

void RequestRun::onDeadline()
{
    m_deadlineTimer = 0;
    if (m_ended)
        return;
    for (const auto& flight : m_flights) {
        if (flight.connection)
            flight.backend->noteFailure();
    }
    if (m_serverFailure)
        return deliver(std::move(*m_serverFailure), {});
    if (m_sends == 0 || (m_open == 0 && !m_mayHaveRun))
        return refuse(RefusalReason::Busy, 0);
    fail(GatewayTimeout, "no answer in time");
}

void RequestRun::abandon()
{
    if (m_ended)
        return;
    ++m_engine.counters().abandoned;
    m_engine.log().log(EventId::CallAbandoned, logFields("abandoned"));
    end();
}

// Ends all that is under way. Work that still runs at servers is cancelled by closing its connection.
void RequestRun::end()
{
    m_ended = true;
    m_engine.loop().cancel(m_patience);
    m_engine.loop().cancel(m_deadlineTimer);
    m_engine.loop().cancel(m_secondSendTimer);
    for (auto& flight : m_flights) {
        if (!flight.connection)
            continue;
        flight.backend->abandon(flight.connection);
        flight.backend->endWork();
        flight.connection.reset();
    }
    m_open = 0;
    m_exchange->onGone({});
    m_engine.finished(shared_from_this());
}

std::vector<Common::EventField> RequestRun::logFields(const char* outcome) const
{
    auto now = m_engine.loop().now();
    return {
        { "request", m_id },
        { "outcome", outcome },
        { "route", m_route.name },
        { "service", m_service },
        { "configuration", std::to_string(m_engine.configuration()->version) },
        { "server", m_lastServer },
        { "sends", std::to_string(m_sends) },
        { "asked", std::to_string(m_asked) },
        { "ms", fmt::format("{:.1f}", Common::toMilliseconds(now - m_exchange->received())) },
        { "left_ms", fmt::format("{:.1f}", timeLeftMs()) },
        { "inputs", m_lastInputs },
    };
}

}
