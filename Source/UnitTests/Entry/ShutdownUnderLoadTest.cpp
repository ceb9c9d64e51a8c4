#include <atomic>
#include <thread>

#include <Poco/Net/HTTPServer.h>
#include <doctest/doctest.h>

#include "Bench/StandInServer.h"
#include "Entry/Daemon.h"

#include "Entry/EntryFixture.h"

namespace {

using EntryTests::connectTo;
using EntryTests::sendRaw;
using EntryTests::statusOf;
using EntryTests::waitUntil;

constexpr int quietMs = 3000;
constexpr auto request = "GET /services/s/x HTTP/1.1\r\nHost: h\r\n\r\n";

// A backend server that answers when it is told to.
class HeldServer {
public:
    HeldServer()
        : m_server([this](auto&, auto& response) { answer(response); }, 64)
    {
    }

    std::string address() const { return m_server.address(); }
    void open() { m_open = true; }
    int waiting() const { return m_waiting; }

private:
    void answer(Poco::Net::HTTPServerResponse& response)
    {
        ++m_waiting;
        while (!m_open)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        response.sendBuffer("done", 4);
    }

    std::atomic<bool> m_open { false };
    std::atomic<int> m_waiting { 0 };
    Bench::StandInServer m_server;
};

std::string recordFor(const HeldServer& server)
{
    return "schema = 1\nservice = \"s\"\nservers = [\"" + server.address() + "\"]\n";
}

}

TEST_CASE("graceful shutdown answers what is in flight and what still comes within the directory's time")
{
    HeldServer server;
    Entry::Daemon daemon(EntryTests::testSettings(), EntryTests::fixedPlatform(recordFor(server), {}), Common::systemHooks());
    REQUIRE(daemon.start());
    // Two calls at once need two connections: until its share has settled the entry holds one.
    waitUntil([&] { return daemon.servers().connectionLimit("s") > 1; });
    auto idle = connectTo(daemon);
    auto inFlight = connectTo(daemon);
    EntryTests::RawAnswer first;
    std::thread caller([&] { first = sendRaw(inFlight, request, quietMs); });
    waitUntil([&] { return server.waiting() == 1; });

    bool clean = false;
    std::thread stopper([&] { clean = daemon.stop(); });
    // A caller that kept its directory answer connects after the stop began.
    waitUntil([&] { return !daemon.log().since(0).empty() && daemon.log().since(0).back().id == Common::EventId::EntryLeaving; });
    auto late = connectTo(daemon);
    EntryTests::RawAnswer second;
    std::thread lateCaller([&] { second = sendRaw(late, request, quietMs); });
    waitUntil([&] { return server.waiting() == 2; });
    server.open();

    caller.join();
    lateCaller.join();
    stopper.join();
    CHECK(clean);
    CHECK(statusOf(first) == 200);
    CHECK(first.text.ends_with("done"));
    CHECK(statusOf(second) == 200);
    // The idle connection is ended without an answer, and the port is closed.
    CHECK(statusOf(sendRaw(idle, "", quietMs)) == 0);
    CHECK_THROWS_AS(connectTo(daemon), Poco::Exception);
}

TEST_CASE("a forced stop says that calls were cut")
{
    HeldServer server;
    Entry::Daemon daemon(EntryTests::testSettings(), EntryTests::fixedPlatform(recordFor(server), {}), Common::systemHooks());
    REQUIRE(daemon.start());
    auto inFlight = connectTo(daemon);
    std::thread caller([&] { sendRaw(inFlight, request, quietMs); });
    waitUntil([&] { return server.waiting() == 1; });
    daemon.forceStop();
    // The held answer is released so that the cut call's thread can end.
    std::thread opener([&] {
        waitUntil([&] { return daemon.log().since(0).back().id == Common::EventId::EntryStopForced; });
        server.open();
    });
    CHECK_FALSE(daemon.stop());
    opener.join();
    caller.join();
}

TEST_CASE("an entry that is killed twice at once, and during a graceful shutdown, ends once")
{
    HeldServer server;
    Entry::Daemon daemon(EntryTests::testSettings(), EntryTests::fixedPlatform(recordFor(server), {}), Common::systemHooks());
    REQUIRE(daemon.start());
    std::thread stopper([&] { daemon.stop(); });
    waitUntil([&] { return !daemon.log().since(0).empty() && daemon.log().since(0).back().id == Common::EventId::EntryLeaving; });
    std::thread killer([&] { daemon.kill(); });
    daemon.kill();
    killer.join();
    stopper.join();
    CHECK(daemon.callers().connections.count() == 0);
}
