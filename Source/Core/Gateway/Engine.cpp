#include "Gateway/Engine.h"

#include <algorithm>
#include <charconv>

#include "Gateway/RequestRun.h"

namespace Gateway {

namespace {

    // Share of a route's goal that unloaded work is taken for until answers tell.
    constexpr double assumedShareOfGoal = 0.4;
    // Weight of the newest answer in the learned work.
    constexpr double workGain = 0.05;

    using enum Net::HttpStatus;

}

Engine::Engine(Net::EventLoop& loop, Common::EventLog& log, Backends& backends, EngineOptions options)
    : m_loop(loop)
    , m_log(log)
    , m_backends(backends)
    , m_options(std::move(options))
{
}

Engine::~Engine() = default;

bool Engine::apply(std::shared_ptr<const Configuration> configuration)
{
    if (m_configuration && configuration->version <= m_configuration->version)
        return false;
    auto before = m_configuration ? m_configuration->version : 0;
    m_configuration = std::move(configuration);
    m_backends.setServices(m_configuration->services);
    std::erase_if(m_splits, [&](const auto& row) {
        auto it = std::find_if(m_configuration->routes.begin(), m_configuration->routes.end(), [&](const auto& route) { return route.name == row.first; });
        return it == m_configuration->routes.end();
    });
    m_log.log(Common::EventId::ConfigurationApplied, { { "version", std::to_string(m_configuration->version) }, { "before", std::to_string(before) }, { "routes", std::to_string(m_configuration->routes.size()) } });
    return true;
}

void Engine::setEntries(int entries)
{
    m_entries = std::max(1, entries);
    m_options.retries.entries = m_entries;
    for (auto& [service, allowance] : m_allowances)
        allowance.setEntries(m_entries);
    m_backends.setEntries(m_entries);
    m_questions.setRate(m_options.probesPerServer * static_cast<double>(m_backends.size()) / m_entries, m_loop.now());
}

Decisions::WindowedRetryBudget& Engine::allowance(const std::string& service)
{
    return m_allowances.try_emplace(service, m_options.retries).first->second;
}

double Engine::usualWorkMs(const Route& route) const
{
    auto it = m_workMs.find(route.name);
    return it != m_workMs.end() ? it->second : assumedShareOfGoal * Common::toMilliseconds(route.goal);
}

void Engine::learnWork(const Route& route, double tookMs, double factor)
{
    auto& work = m_workMs.try_emplace(route.name, usualWorkMs(route)).first->second;
    work += workGain * (tookMs / std::max(1.0, factor) - work);
}

void Engine::finished(const std::shared_ptr<RequestRun>& run)
{
    m_runs.erase(run);
}

std::string Engine::chooseService(const Route& route)
{
    if (route.parts.size() == 1)
        return route.parts.front().service;
    std::vector<double> weights;
    for (const auto& part : route.parts)
        weights.push_back(part.weight);
    auto it = m_splits.find(route.name);
    if (it == m_splits.end() || it->second.weights() != weights)
        it = m_splits.insert_or_assign(route.name, Decisions::WeightedSplit(weights, Common::randomUnit(m_loop.hooks()))).first;
    return route.parts[it->second.next()].service;
}

void Engine::serve(const std::shared_ptr<Net::Exchange>& exchange)
{
    ++m_counters.requests;
    if (!m_configuration) {
        ++m_counters.refused;
        m_log.log(Common::EventId::CallRefused, { { "request", std::string(Net::findHeader(exchange->request().headers, m_options.headers.requestId).value_or("")) }, { "cause", "no configuration is known yet" } });
        auto wait = Decisions::retryAfter({ .reason = Decisions::RefusalReason::NotConfigured, .timeLeftMs = 3000, .excessMs = 0, .jitter = Common::randomUnit(m_loop.hooks()) });
        return exchange->respond({ .status = Unavailable, .reason = {}, .headers = { { "Retry-After", std::to_string(std::chrono::duration<double>(wait).count()) } }, .body = {} });
    }
    const auto& request = exchange->request();
    const auto* route = m_configuration->find(Net::findHeader(request.headers, "Host").value_or(""), Net::pathOf(request.target));
    if (!route || route->parts.empty())
        return answerUnknown(exchange);
    Common::Duration allowed = route->timeout;
    if (auto text = Net::findHeader(request.headers, m_options.headers.deadline)) {
        double ms = 0;
        auto [rest, ec] = std::from_chars(text->data(), text->data() + text->size(), ms);
        if (ec == std::errc() && ms >= 0)
            allowed = std::min(allowed, Common::fromMilliseconds(std::min(ms, Common::toMilliseconds(route->timeout))));
    }
    auto run = std::make_shared<RequestRun>(*this, exchange, *route, chooseService(*route), exchange->received() + allowed);
    m_runs.insert(run);
    run->start();
}

void Engine::answerUnknown(const std::shared_ptr<Net::Exchange>& exchange)
{
    ++m_counters.unknownRoute;
    auto id = Net::findHeader(exchange->request().headers, m_options.headers.requestId).value_or("");
    m_log.log(Common::EventId::CallFailed, { { "request", std::string(id) }, { "cause", "no route" }, { "target", exchange->request().target }, { "configuration", std::to_string(m_configuration->version) } });
    exchange->respond({ .status = NotFound, .reason = {}, .headers = {}, .body = {} });
}

}
