#include "Decisions/CrashSuspects.h"

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace {

using Decisions::CrashSuspects;
using std::chrono::milliseconds;

const Common::TimePoint start(std::chrono::hours(1));
constexpr std::uint64_t deadly = 1;

struct Step {
    enum Kind {
        Crash, // of the server with this number
        Answer,
        Report, // of another gateway, of a crash of this server
        ReportAnswer, // of another gateway
    } kind;
    std::uint64_t server = 0;
};

struct Case {
    std::string name;
    std::vector<Step> steps;
    bool mayRetry;
    bool refused;
};

const Case cases[] = {
    { "no crash", {}, true, false },
    { "one server ended", { { Step::Crash, 1 } }, true, false },
    { "two servers ended: no further one in the same arrival", { { Step::Crash, 1 }, { Step::Crash, 2 } }, false, false },
    { "three servers ended", { { Step::Crash, 1 }, { Step::Crash, 2 }, { Step::Crash, 3 } }, false, true },
    { "the same server, told three times", { { Step::Crash, 1 }, { Step::Crash, 1 }, { Step::Report, 1 } }, true, false },
    { "servers that ended at other gateways count too", { { Step::Crash, 1 }, { Step::Report, 2 }, { Step::Report, 3 } }, false, true },
    { "an answer after three crashes", { { Step::Crash, 1 }, { Step::Crash, 2 }, { Step::Crash, 3 }, { Step::Answer } }, true, false },
    { "an answer before three crashes", { { Step::Answer }, { Step::Crash, 1 }, { Step::Crash, 2 }, { Step::Crash, 3 } }, true, false },
    { "an answer that another gateway got", { { Step::Crash, 1 }, { Step::Crash, 2 }, { Step::Crash, 3 }, { Step::ReportAnswer } }, true, false },
};

// A fleet with one relay, in virtual time: gateways report to it and hear from it after `delay`.
class Fleet {
public:
    Fleet(std::size_t gateways, milliseconds delay)
        : m_delay(delay)
        , m_gateways(gateways)
        , m_sent(gateways)
    {
    }

    CrashSuspects& gateway(std::size_t i) { return m_gateways[i]; }
    // Passes on what was learned up to `now`.
    void exchange(Common::TimePoint now)
    {
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            auto& sent = m_sent[i];
            if (now - sent.at < m_delay)
                continue;
            sent.at = now;
            m_relay.merge(m_gateways[i].learnedSince(sent.up), now);
            sent.up = m_gateways[i].revision();
            m_gateways[i].merge(m_relay.sharedSince(sent.down), now);
            sent.down = m_relay.revision();
        }
    }

private:
    struct Sent {
        Common::TimePoint at = start;
        std::uint64_t up = 0;
        std::uint64_t down = 0;
    };

    milliseconds m_delay;
    CrashSuspects m_relay;
    std::vector<CrashSuspects> m_gateways;
    std::vector<Sent> m_sent;
};

struct LoadCase {
    std::string name;
    std::size_t gateways;
    std::size_t servers;
    int deadlyPerSecond;
    int soundPerSecond;
    double otherCrashesPerSecond; // servers that end for other reasons
};

const LoadCase loads[] = {
    { "20 gateways", 20, 32, 5, 150, 0 },
    { "20 gateways, servers end by themselves too", 20, 32, 5, 150, 4 },
    { "45 gateways", 45, 80, 10, 300, 4 },
    { "221 gateways", 221, 400, 20, 800, 20 },
    { "473 gateways", 473, 900, 50, 1800, 40 },
};

struct Outcome {
    int crashesByDeadly = 0;
    int sendsLate = 0; // of the deadly request, later than 3 s after its third crash
    int soundRefused = 0;
    int sound = 0;
};

// Requests take 100 ms. A server that ends takes all requests with it that it runs, and is back 3 s later. A request is sent at most
// twice in one arrival.
Outcome play(const LoadCase& load, unsigned seed)
{
    struct Running {
        std::uint64_t identity = 0;
        std::size_t gateway = 0;
        Common::TimePoint end;
        int sends = 1;
    };
    constexpr auto step = milliseconds(10);
    constexpr auto work = milliseconds(100);
    constexpr auto downTime = std::chrono::seconds(3);
    constexpr int maxSends = 2;
    std::mt19937 random(seed);
    auto uniform = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
    auto below = [&](std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random); };
    Fleet fleet(load.gateways, milliseconds(900));
    std::vector<std::vector<Running>> servers(load.servers);
    std::vector<Common::TimePoint> downUntil(load.servers, start);
    std::uint64_t incarnation = 0;
    std::uint64_t nextSound = deadly + 1;
    std::optional<Common::TimePoint> thirdCrash;
    Outcome outcome;
    for (auto now = start; now < start + std::chrono::seconds(20); now += step) {
        std::vector<Running> toSend;
        auto arrive = [&](std::uint64_t identity) {
            auto gateway = below(load.gateways);
            outcome.sound += identity != deadly;
            if (fleet.gateway(gateway).refuses(identity, now))
                outcome.soundRefused += identity != deadly;
            else
                toSend.push_back({ .identity = identity, .gateway = gateway, .end = now + work });
        };
        auto perStep = [&](double perSecond) { return static_cast<int>(perSecond * std::chrono::duration<double>(step).count() + uniform()); };
        for (int n = perStep(load.deadlyPerSecond); n > 0; --n)
            arrive(deadly);
        for (int n = perStep(load.soundPerSecond); n > 0; --n)
            arrive(nextSound++);
        std::vector<std::size_t> ending;
        for (int n = perStep(load.otherCrashesPerSecond); n > 0; --n)
            ending.push_back(below(load.servers));
        for (std::size_t i = 0; i < servers.size(); ++i) {
            std::erase_if(servers[i], [&](const Running& it) {
                if (it.end > now)
                    return false;
                if (it.identity == deadly)
                    ending.push_back(i);
                else
                    fleet.gateway(it.gateway).recordAnswer(it.identity);
                return it.identity != deadly;
            });
        }
        for (auto i : ending) {
            ++incarnation;
            downUntil[i] = now + downTime;
            for (auto& it : std::exchange(servers[i], {})) {
                auto& gateway = fleet.gateway(it.gateway);
                gateway.recordCrash(it.identity, incarnation, now);
                if (it.identity == deadly && ++outcome.crashesByDeadly == 3)
                    thirdCrash = now;
                if (it.sends < maxSends && gateway.mayRetry(it.identity))
                    toSend.push_back({ .identity = it.identity, .gateway = it.gateway, .end = now + work, .sends = it.sends + 1 });
            }
        }
        for (auto& it : toSend) {
            auto i = below(load.servers);
            while (downUntil[i] > now)
                i = (i + 1) % load.servers;
            outcome.sendsLate += it.identity == deadly && thirdCrash && now > *thirdCrash + std::chrono::seconds(3);
            servers[i].push_back(it);
        }
        fleet.exchange(now);
    }
    return outcome;
}

}

TEST_CASE("A request is refused once several servers ended under it and none answered it")
{
    for (const auto& row : cases) {
        CAPTURE(row.name);
        CrashSuspects suspects;
        for (const auto& step : row.steps) {
            if (step.kind == Step::Crash)
                suspects.recordCrash(deadly, step.server, start);
            else if (step.kind == Step::Answer)
                suspects.recordAnswer(deadly);
            else
                suspects.merge({ { .identity = deadly, .servers = step.kind == Step::Report ? std::vector { step.server } : std::vector<std::uint64_t>(), .answered = step.kind == Step::ReportAnswer } }, start);
        }
        CHECK(suspects.mayRetry(deadly) == row.mayRetry);
        CHECK(suspects.refuses(deadly, start) == row.refused);
    }
}

TEST_CASE("A blocked request is forgotten when it has not come for long, a suspect sooner")
{
    CrashSuspects suspects;
    for (std::uint64_t server = 1; server <= 3; ++server)
        suspects.recordCrash(deadly, server, start);
    suspects.recordCrash(2, 1, start);
    suspects.expire(start + std::chrono::minutes(6));
    CHECK(suspects.size() == 1);
    CHECK(suspects.refuses(deadly, start + std::chrono::minutes(9)));
    suspects.expire(start + std::chrono::minutes(18));
    CHECK(suspects.blocked() == 1);
    suspects.expire(start + std::chrono::minutes(20));
    CHECK(suspects.blocked() == 0);
}

TEST_CASE("The number of suspects is bounded, and blocked requests are forgotten last")
{
    Decisions::CrashSuspectOptions options;
    options.maxSuspects = 10;
    CrashSuspects suspects(options);
    for (std::uint64_t server = 1; server <= 3; ++server)
        suspects.recordCrash(deadly, server, start);
    for (std::uint64_t identity = 2; identity < 100; ++identity)
        suspects.recordCrash(identity, 1, start + milliseconds(identity));
    CHECK(suspects.size() == 10);
    CHECK(suspects.refuses(deadly, start));
}

TEST_CASE("Gateways that merge each other's reports twice agree, in whatever order they come")
{
    auto held = rc::check("two gateways, reports both ways", [] {
        CrashSuspects a;
        CrashSuspects b;
        for (int i = 0; i < 20; ++i) {
            auto& one = *rc::gen::arbitrary<bool>() ? a : b;
            auto identity = *rc::gen::inRange<std::uint64_t>(1, 4);
            if (*rc::gen::inRange(0, 6) == 0)
                one.recordAnswer(identity);
            else
                one.recordCrash(identity, *rc::gen::inRange<std::uint64_t>(1, 4), start);
            if (*rc::gen::arbitrary<bool>())
                a.merge(b.learnedSince(0), start);
        }
        // One that has an answer, but no crash, tells of the answer once it hears of a crash.
        for (int round = 0; round < 2; ++round) {
            a.merge(b.learnedSince(0), start);
            b.merge(a.learnedSince(0), start);
        }
        for (std::uint64_t identity = 1; identity < 4; ++identity)
            RC_ASSERT(a.isBlocked(identity) == b.isBlocked(identity));
        RC_ASSERT(!a.merge(b.learnedSince(0), start));
    });
    CHECK(held);
}

// Guards against a request that ends server after server, and against sound requests that are refused since servers ended under them.
TEST_CASE("Fleets of any size stop a request that ends servers, and refuse hardly any other")
{
    for (const auto& load : loads) {
        for (unsigned seed = 1; seed <= 3; ++seed) {
            CAPTURE(load.name);
            CAPTURE(seed);
            auto outcome = play(load, seed);
            CAPTURE(outcome.crashesByDeadly);
            CAPTURE(outcome.soundRefused);
            CHECK(outcome.crashesByDeadly >= 3);
            CHECK(outcome.sendsLate <= 3);
            CHECK(outcome.soundRefused * 500 <= outcome.sound);
            MESSAGE(load.name, ", seed ", seed, ": ", outcome.crashesByDeadly, " servers ended by the request, ", outcome.sendsLate, " late sends, ", outcome.soundRefused, " of ", outcome.sound, " sound requests refused");
        }
    }
}
