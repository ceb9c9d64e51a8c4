#include "Bench/BackendServer.h"

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include "Bench/BackendConnection.h"

namespace Bench {

namespace {

    Common::TimePoint now()
    {
        return Common::TimePoint(std::chrono::steady_clock::now());
    }

}

BackendServer::BackendServer(BackendOptions options, Ledger& ledger, EventLoop& loop)
    : m_options(std::move(options))
    , m_ledger(ledger)
    , m_loop(loop)
    , m_acceptor(loop.context())
    , m_endpoint(boost::asio::ip::address_v4::loopback(), 0)
    , m_random(m_options.seed * 1000 + static_cast<std::uint64_t>(m_options.number))
{
}

void BackendServer::listen()
{
    constexpr int backlog = 512;
    m_acceptor.open(m_endpoint.protocol());
    m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
    m_acceptor.bind(m_endpoint);
    m_acceptor.listen(backlog);
    m_endpoint = m_acceptor.local_endpoint();
    m_address = fmt::format("127.0.0.1:{}", m_endpoint.port());
    accept();
}

void BackendServer::close()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    auto connections = std::move(m_connections);
    m_connections.clear();
    m_waiting.clear();
    for (const auto& connection : connections)
        connection->reset();
}

void BackendServer::begin(const Fault& fault)
{
    auto index = static_cast<std::size_t>(fault.kind);
    if (fault.kind == FaultKind::FrozenReports)
        m_frozenInFlight = m_busy + static_cast<int>(m_waiting.size());
    m_faults[index] = fault;
    m_begun[index] = now();
    if (fault.kind == FaultKind::Crash)
        crash();
    if (fault.kind == FaultKind::SilentConnections) {
        for (const auto& connection : m_connections)
            connection->goSilent();
        m_faults[index].reset();
    }
}

void BackendServer::end(FaultKind kind)
{
    m_faults[static_cast<std::size_t>(kind)].reset();
    if (kind != FaultKind::Crash || m_acceptor.is_open())
        return;
    listen();
    constexpr double coldFactor = 5;
    begin({ .kind = FaultKind::ColdStart, .at = {}, .length = std::chrono::seconds(2), .targets = {}, .factor = coldFactor });
}

void BackendServer::crash()
{
    ++m_life;
    m_busy = 0;
    close();
}

void BackendServer::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](const boost::system::error_code& ec, Tcp::socket socket) {
        if (ec)
            return;
        self->accepted(std::move(socket));
        self->accept();
    });
}

void BackendServer::accepted(Tcp::socket socket)
{
    auto connection = std::make_shared<BackendConnection>(std::move(socket), *this);
    if (static_cast<int>(m_connections.size()) >= m_options.connections || isActive(FaultKind::DrainWithoutWarning)) {
        if (isActive(FaultKind::DrainWithoutWarning))
            m_ledger.signedOff(m_options.number, now());
        else
            ++m_counts.connectionsRefused;
        connection->reset();
        return;
    }
    m_connections.insert(connection);
    ++m_counts.connections;
    m_counts.openConnections = static_cast<int>(m_connections.size());
    m_counts.mostConnections = std::max<int>(m_counts.mostConnections, m_counts.openConnections);
    if (m_options.connectCost > Common::Duration::zero())
        enqueue({ .kind = WorkKind::Connect, .connection = connection, .call = {} });
    const auto& slow = m_faults[static_cast<std::size_t>(FaultKind::SlowAccept)];
    connection->start(slow ? slow->delay : Common::Duration::zero());
}

void BackendServer::enqueue(Work work)
{
    if (work.kind == WorkKind::Probe) {
        ++m_counts.probes;
        m_ledger.probed(m_options.service, now());
    }
    if (work.kind == WorkKind::Call) {
        ++m_counts.requests;
        auto connection = work.connection.lock();
        auto full = static_cast<int>(m_waiting.size()) >= m_options.queueLimit;
        if (isActive(FaultKind::DrainWithoutWarning) || full || draw(FaultKind::ShedWithProof))
            return connection->answer({ .status = 503, .body = "shed", .provenNotRun = true });
        if (draw(FaultKind::ShedWithoutProof)) {
            if (m_random() % 2 == 0)
                m_ledger.ran(work.call.id, { .server = m_options.number, .at = now() });
            return connection->answer({ .status = 503, .body = "shed" });
        }
    }
    m_waiting.push_back(std::move(work));
    startWaiting();
}

void BackendServer::ended(const std::shared_ptr<BackendConnection>& connection)
{
    m_connections.erase(connection);
    m_counts.openConnections = static_cast<int>(m_connections.size());
}

void BackendServer::startWaiting()
{
    while (m_busy < m_options.slots && !m_waiting.empty()) {
        auto work = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (mayStart(work))
            start(work);
    }
}

// Work whose caller has gone, or whose time is over, does not begin.
bool BackendServer::mayStart(const Work& work)
{
    auto connection = work.connection.lock();
    if (work.kind == WorkKind::Connect)
        return true;
    if (!connection || connection->hasEnded())
        return false;
    if (work.call.deadline == Common::TimePoint() || now() < work.call.deadline)
        return true;
    connection->answer({ .status = 503, .body = "deadline", .provenNotRun = true });
    return false;
}

void BackendServer::start(const Work& work)
{
    ++m_busy;
    auto time = m_options.connectCost;
    if (work.kind == WorkKind::Probe)
        time = m_options.probeCost;
    if (work.kind == WorkKind::Call) {
        m_ledger.ran(work.call.id, { .server = m_options.number, .at = now() });
        time = BackendStandIn::workOf(m_options, work.call.id);
    }
    auto factor = slowness() / m_options.speed;
    auto timer = std::make_shared<boost::asio::steady_timer>(m_loop.context(), std::chrono::duration_cast<Common::Duration>(time * factor));
    timer->async_wait([self = shared_from_this(), timer, work, life = m_life](const boost::system::error_code&) {
        if (life != self->m_life)
            return;
        --self->m_busy;
        self->finish(work);
        self->startWaiting();
    });
}

void BackendServer::finish(const Work& work)
{
    auto connection = work.connection.lock();
    if (!connection || connection->hasEnded())
        return;
    if (work.kind == WorkKind::Probe)
        return connection->answer({ .status = 200, .body = "probe" });
    if (work.kind == WorkKind::Call)
        answerCall(work);
}

void BackendServer::answerCall(const Work& work)
{
    constexpr std::string_view deepPrefix = "/deep/";
    auto answer = [connection = work.connection, id = work.call.id](int status) {
        if (auto target = connection.lock(); target && !target->hasEnded())
            target->answer({ .status = status, .body = BackendStandIn::bodyFor(id) });
    };
    constexpr int ok = 200;
    if (!m_options.callOn || !work.call.path.starts_with(deepPrefix) || work.call.path == "/deep/0")
        return answer(ok);
    m_options.callOn(m_loop, work.call, answer);
}

std::string BackendServer::stateHeaders()
{
    auto inFlight = m_busy + static_cast<int>(m_waiting.size());
    if (isActive(FaultKind::LyingReports))
        inFlight = 0;
    if (isActive(FaultKind::FrozenReports))
        inFlight = m_frozenInFlight;
    if (isDraining())
        m_ledger.signedOff(m_options.number, now());
    return fmt::format("Cowslipledge-Load: in_flight={};slots={}\r\nCowslipledge-State: {}\r\n", inFlight, m_options.slots, isDraining() ? "draining" : "live");
}

const Fault* BackendServer::draw(FaultKind kind)
{
    const auto& fault = m_faults[static_cast<std::size_t>(kind)];
    if (!fault || std::uniform_real_distribution<double>()(m_random) >= fault->share)
        return nullptr;
    return &*fault;
}

double BackendServer::slowness() const
{
    double factor = 1;
    if (const auto& slow = m_faults[static_cast<std::size_t>(FaultKind::Slow)])
        factor *= slow->factor;
    auto coldIndex = static_cast<std::size_t>(FaultKind::ColdStart);
    if (const auto& cold = m_faults[coldIndex]; cold && cold->length > Common::Duration::zero()) {
        auto age = std::chrono::duration<double>(now() - m_begun[coldIndex]) / std::chrono::duration<double>(cold->length);
        factor *= age >= 1 ? 1 : cold->factor + (1 - cold->factor) * age;
    }
    return factor;
}

}
