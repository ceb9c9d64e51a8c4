#include "Backends/ConnectionPool.h"

#include <thread>

#include <doctest/doctest.h>

#include "ScriptedServer.h"

namespace {

using namespace UnitTests;
using Backends::ConnectionPool;
using Decisions::AttemptStage;

constexpr auto longWait = std::chrono::seconds(20);
constexpr auto shortWait = std::chrono::milliseconds(20);
const std::string wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

AttemptStage roundTrip(ConnectionPool::Lease& lease, Common::Duration wait)
{
    if (!lease.kept)
        REQUIRE(lease.session->open(longWait).stage == AttemptStage::BeforeSend);
    REQUIRE(lease.session->send({ .method = "GET", .target = "/", .headers = {}, .body = {} }, longWait).stage == AttemptStage::Sent);
    Backends::BackendAnswer answer;
    return lease.session->receive(answer, Common::TimePoint(std::chrono::steady_clock::now()) + wait).stage;
}

const Script twoAnswers { ReadRequest {}, SendBytes { wholeAnswer }, ReadRequest {}, SendBytes { wholeAnswer }, WaitForClient {} };
const Script silentSecond { ReadRequest {}, SendBytes { wholeAnswer }, ReadRequest {}, WaitForClient {} };

}

TEST_CASE("a kept connection that goes silent replaces the others that were heard from earlier")
{
    ScriptedServer server({ twoAnswers, silentSecond });
    int retired = -1;
    ConnectionPool pool({ .session = { .address = server.address() }, .silenceLimit = shortWait, .onSuspect = [&](int n) { retired = n; } });
    auto first = pool.acquire();
    auto second = pool.acquire();
    REQUIRE(roundTrip(first, longWait) == AttemptStage::Answered);
    REQUIRE(roundTrip(second, longWait) == AttemptStage::Answered);
    pool.release(std::move(first.session));
    pool.release(std::move(second.session));
    CHECK(pool.open() == 2);
    auto silent = pool.acquire();
    REQUIRE(silent.kept);
    REQUIRE(roundTrip(silent, 2 * shortWait) == AttemptStage::Sent);
    pool.release(std::move(silent.session));
    CHECK(retired == 1);
    CHECK(pool.open() == 0);
    CHECK_FALSE(pool.acquire().kept);
}

TEST_CASE("a connection heard from after the silent request was sent is kept")
{
    ScriptedServer server({ twoAnswers, silentSecond });
    int retired = -1;
    ConnectionPool pool({ .session = { .address = server.address() }, .silenceLimit = shortWait, .onSuspect = [&](int n) { retired = n; } });
    auto lively = pool.acquire();
    auto silent = pool.acquire();
    REQUIRE(roundTrip(lively, longWait) == AttemptStage::Answered);
    REQUIRE(roundTrip(silent, longWait) == AttemptStage::Answered);
    silent.kept = lively.kept = true;
    REQUIRE(roundTrip(silent, 2 * shortWait) == AttemptStage::Sent);
    REQUIRE(roundTrip(lively, longWait) == AttemptStage::Answered);
    pool.release(std::move(lively.session));
    pool.release(std::move(silent.session));
    CHECK(retired == 0);
    CHECK(pool.open() == 1);
    CHECK(pool.acquire().kept);
}

TEST_CASE("a request that must not repeat gets a connection heard from just now or a new one")
{
    ScriptedServer server({ twoAnswers });
    ConnectionPool pool({ .session = { .address = server.address() }, .limit = 1 });
    auto lease = pool.acquire();
    REQUIRE(roundTrip(lease, longWait) == AttemptStage::Answered);
    pool.release(std::move(lease.session));
    SUBCASE("fresh enough")
    {
        CHECK(pool.acquire(longWait).kept);
    }
    SUBCASE("too old: at the limit the idle one gives way")
    {
        auto fresh = pool.acquire(Common::Duration::zero());
        CHECK_FALSE(fresh.kept);
        CHECK(fresh.session);
        CHECK(pool.open() == 1);
        CHECK_FALSE(pool.acquire().session);
    }
}

TEST_CASE("a connection idle for too long is retired")
{
    ScriptedServer server({ twoAnswers });
    ConnectionPool pool({ .session = { .address = server.address() }, .idleLimit = Common::Duration::zero() });
    auto lease = pool.acquire();
    REQUIRE(roundTrip(lease, longWait) == AttemptStage::Answered);
    pool.release(std::move(lease.session));
    CHECK_FALSE(pool.acquire().kept);
    CHECK(pool.open() == 1);
}
