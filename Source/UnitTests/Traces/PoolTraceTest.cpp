#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include <doctest/doctest.h>

#include "Traces/PoolRecorder.h"
#include "Traces/PoolReplay.h"

namespace {

using Decisions::AttemptFault;
using Decisions::AttemptStage;

// A recorded run of some servers, one of which refuses connections after a while.
std::string recordedRun()
{
    std::string trace;
    std::mt19937_64 random(7);
    Common::TimePoint now { std::chrono::seconds(1) };
    Traces::PoolRecorder pool({ .service = "s" }, { .now = [&] { return now; }, .random = [&] { return random(); } }, [&](const std::string& line) { trace += line + "\n"; });
    std::vector<Decisions::ServerSpec> servers;
    for (const auto* address : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1" })
        servers.push_back({ .address = address, .failureDomain = "a" });
    pool.setServers(servers);
    constexpr int calls = 120;
    for (int i = 0; i < calls; ++i) {
        now += std::chrono::milliseconds(5);
        auto ticket = pool.choose({});
        REQUIRE(ticket.has_value());
        now += std::chrono::milliseconds(3);
        auto refuses = i > calls / 2 && ticket->address == servers[0].address;
        Decisions::AttemptReport report;
        if (refuses)
            report.end = { .stage = AttemptStage::Connecting, .fault = AttemptFault::Refused };
        else
            report.end = { .stage = AttemptStage::Answered, .status = 200 };
        pool.finish(*ticket, report);
    }
    return trace;
}

Traces::ReplayResult replay(const std::string& trace)
{
    std::istringstream in(trace);
    return Traces::replayPool(in);
}

}

TEST_CASE("a recorded run replays to the same choices")
{
    auto trace = recordedRun();
    auto result = replay(trace);
    CHECK(result.failures.empty());
    CHECK(result.operations > 240);
    // Half of the calls come after it began to refuse; evenly spread it would get a quarter of all.
    CHECK(replay(trace + "{\"expect\":\"choices\",\"server\":\"10.0.0.1:1\",\"most\":29}\n").failures.empty());
    CHECK(replay(trace + "{\"expect\":\"view\",\"server\":\"10.0.0.2:1\",\"takes_work\":true}\n").failures.empty());
}

TEST_CASE("a replay tells what differs")
{
    auto trace = recordedRun();
    struct Case {
        const char* what;
        std::string trace;
        const char* failure;
    };
    auto changed = trace;
    auto at = changed.find("\"chose\":\"10.0.0.2:1\"");
    REQUIRE(at != std::string::npos);
    changed.replace(at, sizeof("\"chose\":\"10.0.0.2:1\"") - 1, "\"chose\":\"10.0.0.9:1\"");
    const Case cases[] = {
        { "another choice", changed, "recorded \"10.0.0.9:1\"" },
        { "an expectation that fails", trace + "{\"expect\":\"view\",\"server\":\"10.0.0.2:1\",\"takes_work\":false}\n", "takes_work is true, expected false" },
        { "too many choices", trace + "{\"expect\":\"choices\",\"server\":\"10.0.0.2:1\",\"most\":3}\n", "expected at most 3" },
        { "an unknown server", trace + "{\"expect\":\"view\",\"server\":\"10.0.0.8:1\"}\n", "no server" },
        { "garbage", trace + "garbage\n", "not a JSON object" },
        { "no beginning", "{\"do\":\"choose\"}\n", "expected a line create first" },
        { "an unknown operation", trace + "{\"do\":\"dance\"}\n", "unknown operation" },
    };
    for (const auto& row : cases) {
        CAPTURE(row.what);
        auto result = replay(row.trace);
        REQUIRE(!result.failures.empty());
        CHECK(result.failures.front().find(row.failure) != std::string::npos);
    }
}

TEST_CASE("every kept trace replays to its stated outcome")
{
    for (const auto& file : std::filesystem::directory_iterator(TRACES_DIR)) {
        if (file.path().extension() != ".jsonl")
            continue;
        CAPTURE(file.path().string());
        std::ifstream in(file.path());
        auto result = Traces::replayPool(in);
        CHECK(result.operations > 0);
        for (const auto& failure : result.failures)
            FAIL_CHECK(failure);
    }
}
