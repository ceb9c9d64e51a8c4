#include "Controllers/Probes.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

namespace Controllers {

namespace {

    using Decisions::AttemptFault;
    using Decisions::AttemptStage;

    constexpr auto planInterval = std::chrono::milliseconds(20);

    Backends::BackendRequest probeRequest(Common::Duration timeout)
    {
        return { .method = "GET", .target = "/probe", .headers = { { "Cowslipledge-Deadline-Ms", fmt::format("{:.0f}", Common::toMilliseconds(timeout)) } }, .body = {} };
    }

}

Probes::Probes(ProbesOptions options, BackendServers& servers)
    : m_options(std::move(options))
    , m_servers(servers)
{
}

Probes::~Probes()
{
    stop();
}

void Probes::start()
{
    m_threads.emplace_back([this] { plan(); });
    for (int i = 0; i < m_options.threads; ++i)
        m_threads.emplace_back([this] { work(); });
}

void Probes::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
}

void Probes::plan()
{
    std::unique_lock lock(m_mutex);
    while (!m_changed.wait_for(lock, planInterval, [this] { return m_stopping; })) {
        // While all threads wait for servers that hang, orders would only grow old.
        if (!m_orders.empty())
            continue;
        lock.unlock();
        auto orders = m_servers.beginProbes();
        lock.lock();
        std::move(orders.begin(), orders.end(), std::back_inserter(m_orders));
        m_changed.notify_all();
    }
}

void Probes::work()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_stopping || !m_orders.empty(); });
        if (m_stopping)
            return;
        auto order = std::move(m_orders.front());
        m_orders.pop_front();
        lock.unlock();
        Decisions::AttemptReport report;
        try {
            report = probe(order);
        } catch (const Poco::Exception&) {
            // The process itself is short of something, like file descriptors: no word on the server.
            report.end = { .stage = AttemptStage::BeforeConnect, .fault = AttemptFault::Refused };
        }
        m_servers.endProbe(std::move(order), report);
        lock.lock();
    }
}

Decisions::AttemptReport Probes::probe(ProbeOrder& order)
{
    auto& [session, kept] = order.hold.connection;
    if (!session)
        return { .end = { .stage = AttemptStage::BeforeConnect, .fault = AttemptFault::Refused } };
    ++m_sent;
    auto deadline = m_options.hooks.now() + m_options.timeout;
    if (!kept) {
        auto end = session->open(m_options.timeout);
        if (end.stage != AttemptStage::BeforeSend)
            return { .end = end };
    }
    auto end = session->send(probeRequest(m_options.timeout), m_options.timeout);
    if (end.stage != AttemptStage::Sent)
        return { .end = end };
    Backends::BackendAnswer answer;
    end = session->receive(answer, deadline);
    if (end.stage != AttemptStage::Answered)
        return { .end = end };
    return { .end = end, .load = m_options.loadOf(answer.headers) };
}

}
