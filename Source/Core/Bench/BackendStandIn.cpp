#include "Bench/BackendStandIn.h"

#include <cmath>

#include <fmt/format.h>

#include "Bench/BackendServer.h"
#include "Common/Hash.h"

namespace Bench {

BackendStandIn::BackendStandIn(BackendOptions options, Ledger& ledger, EventLoop* loop)
    : m_ownLoop(loop ? nullptr : std::make_unique<EventLoop>())
    , m_loop(loop ? *loop : *m_ownLoop)
    , m_server(std::make_shared<BackendServer>(std::move(options), ledger, m_loop))
{
    m_loop.call([this] { m_server->listen(); });
}

BackendStandIn::~BackendStandIn()
{
    m_loop.call([this] { m_server->close(); });
}

std::string BackendStandIn::address() const
{
    return m_server->address();
}

const BackendOptions& BackendStandIn::options() const
{
    return m_server->options();
}

const BackendCounts& BackendStandIn::counts() const
{
    return m_server->counts();
}

void BackendStandIn::begin(const Fault& fault)
{
    m_loop.call([&] { m_server->begin(fault); });
}

void BackendStandIn::end(FaultKind kind)
{
    m_loop.call([&] { m_server->end(kind); });
}

std::string BackendStandIn::bodyFor(const std::string& id)
{
    constexpr std::size_t leastBytes = 200;
    constexpr std::size_t spreadBytes = 800;
    auto mark = Common::hash(id);
    auto body = fmt::format("answer to {} ", id);
    auto bytes = std::max(body.size(), leastBytes + mark % spreadBytes);
    while (body.size() < bytes)
        body += fmt::format("{:016x}", mark += 0x9e3779b97f4a7c15U);
    body.resize(bytes);
    return body;
}

Common::Duration BackendStandIn::workOf(const BackendOptions& options, const std::string& id)
{
    if (options.fixedServiceTime)
        return options.serviceTime;
    constexpr double unitScale = 0x1p-53;
    constexpr int unusedBits = 11;
    auto unit = static_cast<double>(Common::hash(id, options.seed) >> unusedBits) * unitScale;
    return std::chrono::duration_cast<Common::Duration>(options.serviceTime * (0.5 - 0.5 * std::log(1 - unit)));
}

}
