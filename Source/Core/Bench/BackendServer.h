#pragma once

#include <deque>
#include <random>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Bench/BackendStandIn.h"

namespace Bench {

class BackendConnection;

enum class WorkKind {
    Connect, // the cost of a new connection
    Probe,
    Call,
};

// One piece of work that takes a slot.
struct Work {
    WorkKind kind = WorkKind::Call;
    std::weak_ptr<BackendConnection> connection;
    BackendCall call;
};

// What a server answers.
struct BackendAnswerText {
    int status = 200;
    std::string body;
    bool provenNotRun = false;
};

// The state of one backend stand-in; everything but the counts is touched on its loop's thread only.
class BackendServer : public std::enable_shared_from_this<BackendServer> {
public:
    BackendServer(BackendOptions, Ledger&, EventLoop&);

    // Listens on a port that the kernel chooses, or on the earlier one after a crash.
    void listen();
    void close();
    void begin(const Fault&);
    void end(FaultKind);

    void enqueue(Work);
    // A connection has ended: its work, waiting or running, is cancelled.
    void ended(const std::shared_ptr<BackendConnection>&);
    // The state headers of an answer; telling of a drain counts as its first sign.
    std::string stateHeaders();
    // Draws whether a fault with a share hits; null when not.
    const Fault* draw(FaultKind);
    bool isActive(FaultKind kind) const { return m_faults[static_cast<std::size_t>(kind)].has_value(); }
    bool isDraining() const { return isActive(FaultKind::DrainWithWarning) || isActive(FaultKind::DrainWithoutWarning); }
    bool refusesNew() const { return isActive(FaultKind::DrainWithoutWarning) || isActive(FaultKind::ShedWithProof); }

    const std::string& address() const { return m_address; }
    const BackendOptions& options() const { return m_options; }
    BackendCounts& counts() { return m_counts; }
    EventLoop& loop() { return m_loop; }

private:
    using Tcp = boost::asio::ip::tcp;

    void accept();
    void accepted(Tcp::socket);
    void crash();
    void startWaiting();
    bool mayStart(const Work&);
    void start(const Work&);
    void finish(const Work&);
    void answerCall(const Work&);
    double slowness() const;

    BackendOptions m_options;
    Ledger& m_ledger;
    EventLoop& m_loop;
    Tcp::acceptor m_acceptor;
    Tcp::endpoint m_endpoint;
    std::string m_address;
    BackendCounts m_counts;
    std::set<std::shared_ptr<BackendConnection>> m_connections;
    std::deque<Work> m_waiting;
    int m_busy = 0;
    std::uint64_t m_life = 0; // grows with each crash, so that work of an earlier life is forgotten
    std::array<std::optional<Fault>, faultNames.size()> m_faults;
    std::array<Common::TimePoint, faultNames.size()> m_begun {};
    int m_frozenInFlight = 0;
    std::mt19937_64 m_random;
};

}
