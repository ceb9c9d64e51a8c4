#include "Bench/CallerLoop.h"

#include <algorithm>

#include <fmt/format.h>

#include "Bench/BackendStandIn.h"
#include "Bench/HttpText.h"

namespace Bench {

namespace {

    constexpr int maxConnectFailures = 3;
    // What a caller grants beyond its deadline before it gives up.
    constexpr auto grace = std::chrono::milliseconds(1000);

    Common::TimePoint now()
    {
        return Common::TimePoint(std::chrono::steady_clock::now());
    }

    const LoadService& serviceOf(const LoadOptions& options, const CallRecord& record)
    {
        return options.services[static_cast<std::size_t>(record.service)];
    }

    const CallKind& kindOf(const LoadOptions& options, const CallRecord& record)
    {
        return serviceOf(options, record).calls[static_cast<std::size_t>(record.kind)];
    }

}

CallerLoop::CallerLoop(const LoadOptions& options, int number)
    : m_options(options)
    , m_number(number)
    , m_client(m_loop)
    , m_timer(m_loop.context())
    , m_random(options.seed * 100 + static_cast<std::uint64_t>(number))
{
    for (int i = 0; i < options.failureDomains; ++i)
        m_directories.emplace_back(m_client, options.entries, domainName(i), m_random());
    plan();
}

void CallerLoop::prepare()
{
    m_loop.post([this] {
        for (auto& directory : m_directories) {
            for (const auto& service : m_options.services)
                directory.pick(service.name);
        }
    });
}

void CallerLoop::plan()
{
    for (std::size_t i = 0; i < m_options.services.size(); ++i)
        planService(static_cast<int>(i), m_random);
    std::sort(m_records.begin(), m_records.end(), [](const auto& a, const auto& b) { return a.intended < b.intended; });
    for (std::size_t i = 0; i < m_records.size(); ++i)
        m_records[i].id = fmt::format("{}-{}-{}-{}", m_options.idPrefix, m_options.seed, m_number, i);
}

// Poisson arrivals; a change of rate draws the gap anew, which a memoryless process allows.
void CallerLoop::planService(int number, std::mt19937_64& random)
{
    const auto& service = m_options.services[static_cast<std::size_t>(number)];
    std::vector<double> shares;
    for (const auto& call : service.calls)
        shares.push_back(call.share);
    std::discrete_distribution<int> kinds(shares.begin(), shares.end());
    Common::Duration at {};
    while (at < m_options.duration) {
        Common::Duration until {};
        auto rate = rateAt(service, at, until) / m_options.loops;
        auto gap = Common::fromMilliseconds(std::exponential_distribution<double>(rate)(random) * 1000);
        at = std::min(at + gap, until);
        if (at == until || at >= m_options.duration)
            continue;
        CallRecord record;
        record.service = number;
        record.kind = kinds(random);
        record.intended = Common::TimePoint(at);
        m_records.push_back(std::move(record));
    }
}

double CallerLoop::rateAt(const LoadService& service, Common::Duration at, Common::Duration& until) const
{
    const auto& burst = m_options.burst;
    auto begun = at / burst.period * burst.period;
    auto inBurst = at - begun >= burst.period - burst.length;
    until = inBurst ? begun + burst.period : begun + burst.period - burst.length;
    return service.callsPerSecond * (inBurst ? burst.factor : 1);
}

void CallerLoop::start(Common::TimePoint start)
{
    m_loop.post([this, start] {
        m_start = start;
        for (auto& record : m_records)
            record.intended += start.time_since_epoch();
        startDue();
    });
}

void CallerLoop::join()
{
    while (!m_done)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    m_loop.stop();
}

void CallerLoop::startDue()
{
    while (m_next < m_records.size() && m_records[m_next].intended <= now())
        begin(m_next++);
    if (m_next >= m_records.size()) {
        m_done = m_ended == m_records.size();
        return;
    }
    m_timer.expires_at(m_records[m_next].intended);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            startDue();
    });
}

void CallerLoop::begin(std::size_t index)
{
    auto& record = m_records[index];
    record.lag = now() - record.intended;
    record.route = routeAt(record.intended);
    send(index, {});
}

void CallerLoop::send(std::size_t index, const std::string& except)
{
    auto& record = m_records[index];
    auto address = target(record, except);
    m_client.send({
        .address = address,
        .text = text(record),
        .timeout = std::chrono::milliseconds(m_options.deadlineMs) + grace,
        .done = [this, index, address](const ClientAnswer& answer) { answered(index, address, answer); },
    });
}

void CallerLoop::answered(std::size_t index, const std::string& address, const ClientAnswer& answer)
{
    auto& record = m_records[index];
    if (answer.end == ClientEnd::NotConnected && record.connectFailures < maxConnectFailures) {
        ++record.connectFailures;
        return send(index, address);
    }
    record.end = answer.end;
    record.status = answer.status;
    record.outcome = headerValue(answer.head, "Cowslipledge-Outcome");
    record.result = toInteger(headerValue(answer.head, "Cowslipledge-Result"));
    record.attempts += toInteger(headerValue(answer.head, "Cowslipledge-Attempts"));
    record.ownBody = answer.body == BackendStandIn::bodyFor(record.id);
    if (mayResend(record)) {
        record.resent = true;
        return send(index, address);
    }
    finish(record);
}

bool CallerLoop::mayResend(const CallRecord& record) const
{
    return m_options.resendUnknown && !record.resent && record.route == Route::Entry && kindOf(m_options, record).claim
        && (record.end != ClientEnd::Answered || record.outcome == "unknown");
}

void CallerLoop::finish(CallRecord& record)
{
    record.latency = now() - record.intended;
    ++m_ended;
    m_done = m_ended == m_records.size();
}

Route CallerLoop::routeAt(Common::TimePoint at) const
{
    std::vector<Route> routes { Route::Entry };
    if (!m_options.direct.empty())
        routes.push_back(Route::Direct);
    if (!m_options.relay.empty())
        routes.push_back(Route::Relay);
    return routes[static_cast<std::size_t>((at - m_start) / m_options.slice) % routes.size()];
}

std::string CallerLoop::target(const CallRecord& record, const std::string& except)
{
    if (record.route == Route::Direct)
        return m_options.direct[m_nextDirect++ % m_options.direct.size()];
    if (record.route == Route::Relay)
        return m_options.relay;
    if (!m_options.useDirectory)
        return m_options.entries[m_random() % m_options.entries.size()];
    return m_directories[m_random() % m_directories.size()].pick(serviceOf(m_options, record).name, except);
}

std::string CallerLoop::text(const CallRecord& record) const
{
    const auto& kind = kindOf(m_options, record);
    auto headers = fmt::format("Idempotency-Key: {}\r\nCowslipledge-Deadline-Ms: {}\r\n", record.id, m_options.deadlineMs);
    auto path = record.route == Route::Entry ? "/services/" + serviceOf(m_options, record).name + kind.path : kind.path;
    return requestText(kind.method, path, headers, kind.method == "POST" ? fmt::format("{{\"id\":\"{}\"}}", record.id) : std::string());
}

}
