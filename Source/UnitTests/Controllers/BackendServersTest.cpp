#include <atomic>
#include <mutex>
#include <thread>

#include <doctest/doctest.h>

#include "Backends/ScriptedServer.h"
#include "Controllers/Probes.h"
#include "Requests/LoadHeaders.h"

namespace {

using Common::ResultCode;
using Decisions::AttemptStage;
using Decisions::HintKind;
using namespace UnitTests;

constexpr Decisions::AttemptEnd answered { .stage = AttemptStage::Answered, .status = 200 };

struct Bed {
    std::atomic<std::int64_t> ahead { 0 }; // ns ahead of the machine's clock
    Common::Hooks hooks = Common::systemHooks();
    Common::EventLog log { { .process = "test", .format = Common::LogFormat::Off } };
    std::mutex mutex;
    std::vector<Decisions::ServerHint> hints;
    std::unique_ptr<Controllers::BackendServers> servers;

    explicit Bed(std::vector<std::string> addresses, int connections = 300, Decisions::CarrierShare share = {})
    {
        hooks.now = [this] { return Common::TimePoint(std::chrono::steady_clock::now()) + Common::Duration(ahead.load()); };
        auto publish = [this](const Decisions::ServerHint& hint) {
            std::lock_guard lock(mutex);
            hints.push_back(hint);
        };
        servers = std::make_unique<Controllers::BackendServers>(Controllers::BackendServersOptions { .hooks = hooks, .share = [share](const auto&) { return share; }, .publishHint = publish }, log);
        auto record = std::make_shared<Records::ServiceRecord>();
        record->service = "puzzle";
        record->servers = std::move(addresses);
        record->connections = connections;
        Records::RecordSet records;
        records.services["puzzle"] = record;
        servers->apply(records, {});
    }

    void advance(std::chrono::seconds time) { ahead += Common::Duration(time).count(); }
};

template <typename Condition>
bool eventually(const Condition& condition)
{
    for (int i = 0; i < 10'000 && !condition(); ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return condition();
}

}

TEST_CASE("a probe finds that a server is leaving: no new work, and the others hear of it")
{
    ScriptedServer server({ { ReadRequest {}, SendBytes { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nCowslipledge-State: draining\r\n\r\n" }, WaitForClient {} } });
    Bed bed({ server.address() });
    Controllers::Probes probes({ .hooks = bed.hooks, .loadOf = Requests::loadReport }, *bed.servers);
    probes.start();
    bed.advance(std::chrono::seconds(10));
    REQUIRE(eventually([&] { return bed.servers->view("puzzle").at(0).leaving; }));
    probes.stop();
    CHECK(probes.probesSent() >= 1);
    CHECK(server.head().starts_with("GET /probe HTTP/1.1"));
    auto hold = bed.servers->begin("puzzle", {});
    REQUIRE_FALSE(hold);
    CHECK(hold.error().code == ResultCode::NoServer);
    REQUIRE(bed.hints.size() == 1);
    CHECK(bed.hints[0].kind == HintKind::Draining);
    CHECK(bed.hints[0].service == "puzzle");
}

TEST_CASE("an entry without a share of the budget sends no probes")
{
    Bed bed({ "127.0.0.1:1" }, 300, { .maxRecentCarriers = Decisions::CarrierShare::noBudgetShare });
    bed.advance(std::chrono::seconds(100));
    CHECK(bed.servers->beginProbes().empty());
}

TEST_CASE("a full server is passed over, and that says nothing of its health")
{
    // Of 10 connections 9 are for carriers, 3 of them for each of 3.
    Bed bed({ "127.0.0.1:1", "127.0.0.1:2" }, 10, { .carriers = 3, .maxRecentCarriers = 3, .liveEntries = 3 });
    std::vector<Controllers::AttemptHold> holds;
    for (int i = 0; i < 6; ++i) {
        auto hold = bed.servers->begin("puzzle", {});
        REQUIRE(hold);
        CHECK(hold.value().connection.session != nullptr);
        holds.push_back(std::move(hold).value());
    }
    for (int i = 0; i < 20; ++i) {
        auto hold = bed.servers->begin("puzzle", {});
        REQUIRE(hold);
        CHECK(hold.value().connection.session == nullptr);
        bed.servers->end("puzzle", std::move(hold).value(), { .end = { .stage = AttemptStage::BeforeConnect, .fault = Decisions::AttemptFault::Refused } });
    }
    for (auto& hold : holds)
        bed.servers->end("puzzle", std::move(hold), { .end = answered });
    for (const auto& view : bed.servers->view("puzzle")) {
        CHECK(view.inFlight == 0);
        CHECK(view.eligible);
    }
}

TEST_CASE("a hint of another entry takes a server out")
{
    Bed bed({ "127.0.0.1:1" });
    bed.servers->applyHint({ .service = "puzzle", .server = "127.0.0.1:1", .kind = HintKind::Draining, .incarnation = 1 });
    CHECK_FALSE(bed.servers->begin("puzzle", {}));
}
