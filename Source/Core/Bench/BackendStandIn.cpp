#include "Bench/BackendStandIn.h"

#include <thread>

#include <Poco/StreamCopier.h>
#include <fmt/format.h>

namespace Bench {

namespace {

    constexpr std::size_t bodyBytes = 500;

}

void Ledger::ran(const std::string& id)
{
    std::lock_guard lock(m_mutex);
    ++m_runs[id];
}

int Ledger::runs(const std::string& id) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_runs.find(id);
    return it == m_runs.end() ? 0 : it->second;
}

BackendStandIn::BackendStandIn(BackendOptions options, Ledger& ledger)
    : m_options(options)
    , m_ledger(ledger)
    , m_slots(options.slots)
    , m_server([this](auto& request, auto& response) { handle(request, response); }, options.connections)
{
}

std::string BackendStandIn::bodyFor(const std::string& id)
{
    auto body = "answer to " + id + ' ';
    body.resize(bodyBytes, '.');
    return body;
}

void BackendStandIn::handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    auto inFlight = ++m_inFlight;
    auto id = request.get("Idempotency-Key", "");
    std::string ignored;
    Poco::StreamCopier::copyToString(request.stream(), ignored);
    m_slots.acquire();
    std::this_thread::sleep_for(m_options.serviceTime);
    if (request.getURI() != "/probe")
        m_ledger.ran(id);
    m_slots.release();
    --m_inFlight;
    response.set("Cowslipledge-Load", fmt::format("in_flight={};slots={}", inFlight - 1, m_options.slots));
    response.set("Cowslipledge-State", "live");
    auto body = bodyFor(id);
    response.sendBuffer(body.data(), body.size());
}

}
