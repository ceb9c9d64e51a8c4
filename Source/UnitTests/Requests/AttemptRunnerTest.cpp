#include "Requests/AttemptRunner.h"

#include <sys/socket.h>
#include <unistd.h>

#include <doctest/doctest.h>

#include "Backends/ScriptedServer.h"
#include "Requests/AttemptRequest.h"

namespace {

using namespace UnitTests;
using Decisions::AttemptFault;
using Decisions::AttemptStage;

constexpr auto longWait = std::chrono::seconds(20);
constexpr auto shortWait = std::chrono::milliseconds(60);
const std::string wholeAnswer = "HTTP/1.1 200 OK\r\nCowslipledge-Outcome: not-run\r\nContent-Length: 4\r\n\r\nbody";
const Script silent { ReadRequest {}, WaitForClient {} };
const Script answering { ReadRequest {}, SendBytes { wholeAnswer }, WaitForClient {} };

// Backend servers of one service "s" at the given addresses.
class Fixture {
public:
    explicit Fixture(std::vector<std::string> addresses)
    {
        Records::ServiceRecord record;
        record.service = "s";
        record.servers = std::move(addresses);
        Records::RecordSet set;
        set.services["s"] = std::make_shared<const Records::ServiceRecord>(record);
        servers.apply(set, {});
    }

    static Requests::Call call(Common::Duration wait)
    {
        Requests::Call call;
        call.method = "GET";
        call.service = "s";
        call.servicePath = "/";
        call.id = "a";
        call.deadline = Common::TimePoint(std::chrono::steady_clock::now()) + wait;
        return call;
    }

    int inFlight() const
    {
        int n = 0;
        for (const auto& server : servers.view("s"))
            n += server.inFlight;
        return n;
    }

    Common::EventLog log { { .process = "test", .format = Common::LogFormat::Off } };
    Controllers::BackendServers servers { { .hooks = Common::systemHooks() }, log };
    Requests::RunAttempt run = Requests::socketAttempts({ .hooks = Common::systemHooks() }, servers, log);
};

// Two connected sockets; the first one's peer can be closed.
class SocketPair {
public:
    SocketPair() { REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, m_fds.data()) == 0); }
    ~SocketPair()
    {
        ::close(m_fds[0]);
        closePeer();
    }
    SocketPair(const SocketPair&) = delete;
    SocketPair& operator=(const SocketPair&) = delete;

    int fd() const { return m_fds[0]; }
    void closePeer()
    {
        if (m_fds[1] >= 0)
            ::close(m_fds[1]);
        m_fds[1] = -1;
    }

private:
    std::array<int, 2> m_fds {};
};

}

TEST_CASE("a hedge answers for a silent server, and the loser is reported")
{
    ScriptedServer slow({ silent });
    // A connection for each answer: the script of one ends with it.
    ScriptedServer quick({ { ReadRequest {}, SendBytes { "HTTP/1.1 200 OK\r\nConnection: close\r\nCowslipledge-Outcome: not-run\r\nContent-Length: 4\r\n\r\nbody" }, WaitForClient {} } });
    Fixture fixture({ slow.address(), quick.address() });
    // The choice may fall on the quick server first: go on until the hedge had to win. It waits long enough that the quick
    // server is not taken for slow on a busy machine, and the silent one is then tried first at some time.
    constexpr int mostCalls = 200;
    bool won = false;
    for (int i = 0; i < mostCalls && !won; ++i) {
        auto result = fixture.run(Fixture::call(longWait), { .hedgeAfter = std::chrono::milliseconds(100), .takeHedge = [] { return true; } });
        REQUIRE(result);
        CHECK(result.value().end.stage == AttemptStage::Answered);
        CHECK(result.value().answer.body == "body");
        CHECK(result.value().sends == static_cast<int>(result.value().servers.size()));
        CHECK(result.value().answer.headers.empty()); // none that could pass for the entry's own, and none of the connection
        CHECK(fixture.inFlight() == 0);
        won = result.value().hedgeWon;
    }
    CHECK(won);
}

TEST_CASE("without a token no second request is sent")
{
    ScriptedServer first({ silent });
    ScriptedServer second({ silent });
    Fixture fixture({ first.address(), second.address() });
    int asked = 0;
    auto result = fixture.run(Fixture::call(shortWait), { .hedgeAfter = std::chrono::milliseconds(1), .takeHedge = [&] { ++asked; return false; } });
    REQUIRE(result);
    CHECK(asked == 1);
    CHECK(result.value().end.stage == AttemptStage::Sent);
    CHECK(result.value().end.fault == AttemptFault::TimedOut);
    CHECK(first.requests() + second.requests() == 1);
    CHECK(fixture.inFlight() == 0);
}

TEST_CASE("a caller that leaves ends the attempt, unless others wait for its answer")
{
    ScriptedServer server({ silent });
    Fixture fixture({ server.address() });
    SocketPair caller;
    caller.closePeer();
    SUBCASE("nobody else waits")
    {
        auto call = Fixture::call(longWait);
        call.callerSocket = caller.fd();
        auto result = fixture.run(call, {});
        REQUIRE(result);
        CHECK(result.value().end.stage == AttemptStage::Sent);
        CHECK(result.value().end.fault == AttemptFault::Cancelled);
    }
    SUBCASE("others wait")
    {
        auto call = Fixture::call(shortWait);
        call.callerSocket = caller.fd();
        call.mayCancel = [] { return false; };
        auto result = fixture.run(call, {});
        REQUIRE(result);
        CHECK(result.value().end.fault == AttemptFault::TimedOut);
    }
    CHECK(fixture.inFlight() == 0);
}

TEST_CASE("a request that must not repeat is not sent over a connection quiet for too long")
{
    ScriptedServer server({ answering });
    Fixture fixture({ server.address() });
    for (int connections = 1; connections <= 2; ++connections) {
        auto result = fixture.run(Fixture::call(longWait), { .freshness = Common::Duration::zero() });
        REQUIRE(result);
        CHECK(result.value().end.stage == AttemptStage::Answered);
        CHECK(server.connections() == connections);
    }
}

TEST_CASE("a connection closed while idle is replaced by a new one to the same server, for one attempt")
{
    ScriptedServer server({ { ReadRequest {}, SendBytes { wholeAnswer }, CloseConnection {} }, answering });
    Fixture fixture({ server.address() });
    for (int connections = 1; connections <= 2; ++connections) {
        auto result = fixture.run(Fixture::call(longWait), {});
        REQUIRE(result);
        CHECK(result.value().end.stage == AttemptStage::Answered);
        CHECK(result.value().servers.size() == 1);
        CHECK(server.connections() == connections);
        CHECK(server.requests() == connections);
        while (server.closes() == 0)
            std::this_thread::yield();
    }
}

TEST_CASE("an expired deadline sends nothing")
{
    ScriptedServer server({ answering });
    Fixture fixture({ server.address() });
    auto result = fixture.run(Fixture::call(Common::Duration::zero()), {});
    REQUIRE(result);
    CHECK(result.value().end.stage == AttemptStage::BeforeConnect);
    CHECK(result.value().sends == 0);
    CHECK(server.connections() == 0);
}

TEST_CASE("a backend server gets the caller's headers without those of its connection")
{
    auto call = Fixture::call(longWait);
    call.outerRetries = 1;
    call.sends = 1;
    call.headers = { { "Accept", "a" }, { "Connection", "close, X-Hop" }, { "X-Hop", "1" }, { "Cowslipledge-Retry", "9" }, { "Content-Length", "7" }, { "Host", "h" } };
    auto request = Requests::attemptRequest(call, std::chrono::milliseconds(1500));
    const std::vector<Backends::Header> expected { { "Accept", "a" }, { "Idempotency-Key", "a" }, { "Cowslipledge-Deadline-Ms", "1500" }, { "Cowslipledge-Retry", "2" } };
    CHECK(request.headers == expected);
}
