#include <future>

#include <doctest/doctest.h>

#include "Bench/BackendStandIn.h"
#include "Bench/HttpClient.h"
#include "Bench/HttpText.h"

namespace {

using namespace Bench;
using std::chrono::milliseconds;

// A caller that waits for its answers.
class Caller {
public:
    ~Caller() { m_loop.stop(); }

    std::future<ClientAnswer> send(const std::string& address, const std::string& id, const std::string& path = "/clue", const std::string& headers = {}, Common::Duration timeout = std::chrono::seconds(20))
    {
        auto done = std::make_shared<std::promise<ClientAnswer>>();
        m_loop.post([=, this] {
            m_client.send({ .address = address, .text = requestText("GET", path, "Idempotency-Key: " + id + "\r\n" + headers, ""), .timeout = timeout, .done = [done](const ClientAnswer& answer) { done->set_value(answer); } });
        });
        return done->get_future();
    }

    ClientAnswer ask(const std::string& address, const std::string& id, const std::string& path = "/clue", const std::string& headers = {}, Common::Duration timeout = std::chrono::seconds(20))
    {
        return send(address, id, path, headers, timeout).get();
    }

private:
    EventLoop m_loop;
    HttpClient m_client { m_loop };
};

// Waits until the server has taken `n` requests.
void waitForRequests(const BackendStandIn& server, std::uint64_t n)
{
    while (server.counts().requests < n)
        std::this_thread::sleep_for(milliseconds(1));
}

}

TEST_CASE("each fault of a backend stand-in shows as it should")
{
    const struct {
        const char* notRun;
        FaultKind kind;
        ClientEnd end;
        int status;
        int leastRuns;
        int mostRuns;
        bool wholeBody;
    } cases[] {
        { "", FaultKind::Slow, ClientEnd::Answered, 200, 1, 1, true },
        { "1", FaultKind::ShedWithProof, ClientEnd::Answered, 503, 0, 0, false },
        { "", FaultKind::ShedWithoutProof, ClientEnd::Answered, 503, 0, 1, false },
        { "", FaultKind::DrainWithWarning, ClientEnd::Answered, 200, 1, 1, true },
        { "", FaultKind::LyingReports, ClientEnd::Answered, 200, 1, 1, true },
        { "", FaultKind::ResetAnswers, ClientEnd::Broken, 0, 1, 1, false },
        { "", FaultKind::CutAnswers, ClientEnd::Broken, 0, 1, 1, false },
        { "", FaultKind::LateAnswers, ClientEnd::Answered, 200, 1, 1, true },
        { "", FaultKind::SlowAccept, ClientEnd::Answered, 200, 1, 1, true },
        { "", FaultKind::Crash, ClientEnd::NotConnected, 0, 0, 0, false },
    };
    for (const auto& test : cases) {
        CAPTURE(Common::nameOf(faultNames, test.kind));
        Ledger ledger;
        BackendStandIn server({}, ledger);
        Caller caller;
        server.begin({ .kind = test.kind, .factor = 2, .delay = milliseconds(5) });
        auto answer = caller.ask(server.address(), "id");
        CHECK(answer.end == test.end);
        CHECK(answer.status == test.status);
        CHECK(headerValue(answer.head, "Cowslipledge-Not-Run") == test.notRun);
        CHECK((answer.body == BackendStandIn::bodyFor("id")) == test.wholeBody);
        auto runs = static_cast<int>(ledger.runs("id").size());
        CHECK(runs >= test.leastRuns);
        CHECK(runs <= test.mostRuns);
    }
}

TEST_CASE("a drain is told by answers, and without warning by refusals only")
{
    for (auto kind : { FaultKind::DrainWithWarning, FaultKind::DrainWithoutWarning }) {
        Ledger ledger;
        BackendStandIn server({}, ledger);
        Caller caller;
        CHECK(headerValue(caller.ask(server.address(), "before").head, "Cowslipledge-State") == "live");
        server.begin({ .kind = kind });
        CHECK(ledger.leaving().empty());
        auto answer = caller.ask(server.address(), "after");
        CHECK(headerValue(answer.head, "Cowslipledge-State") == "draining");
        CHECK(ledger.runs("after").size() == (kind == FaultKind::DrainWithWarning ? 1 : 0));
        CHECK(ledger.leaving().size() == 1);
    }
}

TEST_CASE("open connections go silent, new ones work")
{
    Ledger ledger;
    BackendStandIn server({}, ledger);
    Caller caller;
    CHECK(caller.ask(server.address(), "first").status == 200);
    server.begin({ .kind = FaultKind::SilentConnections });
    // The kept connection is used again and never answers; the next call opens another one.
    CHECK(caller.ask(server.address(), "lost", "/clue", {}, milliseconds(50)).end == ClientEnd::TimedOut);
    CHECK(ledger.runs("lost").empty());
    CHECK(caller.ask(server.address(), "second").status == 200);
}

TEST_CASE("a request whose caller has gone, or whose time is over, does not begin to run")
{
    Ledger ledger;
    BackendStandIn server({ .slots = 1, .serviceTime = std::chrono::seconds(1), .fixedServiceTime = true, .connectCost = {} }, ledger);
    Caller caller;
    auto running = caller.send(server.address(), "running");
    waitForRequests(server, 1);
    auto gone = caller.ask(server.address(), "gone", "/clue", {}, milliseconds(20));
    auto expired = caller.ask(server.address(), "expired", "/clue", "Cowslipledge-Deadline-Ms: 1\r\n");
    CHECK(running.get().status == 200);
    CHECK(gone.end == ClientEnd::TimedOut);
    CHECK(ledger.runs("gone").empty());
    CHECK(expired.status == 503);
    CHECK(headerValue(expired.head, "Cowslipledge-Not-Run") == "1");
    CHECK(ledger.runs("expired").empty());
    CHECK(ledger.runs("running").size() == 1);
}

TEST_CASE("connections above the limit are reset and counted")
{
    Ledger ledger;
    BackendStandIn server({ .connections = 1, .serviceTime = std::chrono::seconds(1), .fixedServiceTime = true }, ledger);
    Caller caller;
    auto first = caller.send(server.address(), "first");
    waitForRequests(server, 1);
    CHECK(caller.ask(server.address(), "second").end != ClientEnd::Answered);
    CHECK(server.counts().connectionsRefused == 1);
    CHECK(first.get().status == 200);
}

TEST_CASE("a probe is counted and costs a slot its time")
{
    Ledger ledger;
    BackendStandIn server({ .service = "puzzle" }, ledger);
    Caller caller;
    CHECK(caller.ask(server.address(), "", "/probe").status == 200);
    CHECK(ledger.probes("puzzle").size() == 1);
    CHECK(server.counts().probes == 1);
    CHECK(server.counts().requests == 0);
}
