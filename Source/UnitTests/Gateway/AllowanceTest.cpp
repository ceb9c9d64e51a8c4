#include <doctest/doctest.h>

#include "Gateway/FakeRelay.h"
#include "Gateway/FleetFixture.h"

namespace {

using namespace UnitTests;

// Requests a second, requests beyond the rate.
constexpr int rate = 4;
constexpr int burst = 4;
constexpr double windowS = 5;

std::string tenants(const std::string& limit)
{
    return R"({"small":{"api_keys":["ks"])" + limit + R"(},"large":{"api_keys":["kl"],"rate_per_s":5000,"burst":5000},"free":{"api_keys":["kf"]}})";
}

std::string configuration(int version, const std::string& tenants)
{
    auto value = PlatformStandIn::configurationValue(version, "service");
    value.pop_back();
    return value + ",\"tenants\":" + tenants + "}";
}

void putConfiguration(Fleet& fleet, int version, const std::string& tenants)
{
    auto value = configuration(version, tenants);
    fleet.fixture().thread.call([&] { fleet.fixture().store->put(Names::operatorTable, Names::configurationKey, value); });
}

bool waitConfigured(Fleet& fleet, int gateways, int version)
{
    for (int i = 0; i < gateways; ++i) {
        if (!eventually([&] { return Fleet::metric(fleet.gateway(i), "configuration_version") == version; }))
            return false;
    }
    return true;
}

Net::Response callWithKey(RunningGateway& gateway, const std::string& id, const std::string& key)
{
    auto bytes = requestBytes("GET", "/safe/x", id);
    return gateway.call(bytes.insert(bytes.find("\r\n") + 2, std::string(Names::apiKey) + ": " + key + "\r\n"));
}

struct Surge {
    int sent = 0;
    std::vector<Common::TimePoint> served;
    int limited = 0;
    int others = 0; // statuses other than 200 and 429
    double minRetryAfterS = 1e9;
    double maxRetryAfterS = 0;
    int worstWindow() const
    {
        int worst = 0;
        for (std::size_t from = 0, to = 0; to < served.size(); ++to) {
            while (served[to] - served[from] > Common::fromMilliseconds(1000 * windowS))
                ++from;
            worst = std::max(worst, static_cast<int>(to - from + 1));
        }
        return worst;
    }
};

}

// Guards against an allowance that each gateway grants by itself, and against organisations that suffer from another one's surge.
TEST_CASE("An organisation's requests beyond its allowance over all gateways are answered with 429, those of others are served")
{
    constexpr int gateways = 3;
    Fleet fleet(gateways, 20270);
    putConfiguration(fleet, 2, tenants(R"(,"rate_per_s":4,"burst":4)"));
    REQUIRE(fleet.waitReady());
    REQUIRE(waitConfigured(fleet, gateways, 2));

    Surge surge;
    int othersServed = 0;
    int othersSent = 0;
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(12);
    for (int n = 0; std::chrono::steady_clock::now() < end; ++n) {
        auto& gateway = fleet.gateway(n % gateways);
        auto response = callWithKey(gateway, "s" + std::to_string(n), "ks");
        ++surge.sent;
        if (response.status == 200)
            surge.served.push_back(std::chrono::steady_clock::now());
        else if (response.status == 429) {
            ++surge.limited;
            auto retryAfter = Net::findHeader(response.headers, "Retry-After");
            REQUIRE(retryAfter);
            surge.minRetryAfterS = std::min(surge.minRetryAfterS, std::stod(std::string(*retryAfter)));
            surge.maxRetryAfterS = std::max(surge.maxRetryAfterS, std::stod(std::string(*retryAfter)));
        } else
            ++surge.others;
        for (const char* key : { "kl", "kf" }) {
            ++othersSent;
            othersServed += callWithKey(gateway, std::string(key) + std::to_string(n), key).status == 200 ? 1 : 0;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(40));
    }
    auto bound = (rate * windowS + burst) * 1.1 + 20;
    MESSAGE("sent " << surge.sent << ", served " << surge.served.size() << ", worst window " << surge.worstWindow() << " of " << bound << ", 429 " << surge.limited
                    << ", Retry-After " << surge.minRetryAfterS << " to " << surge.maxRetryAfterS << " s");
    CHECK(surge.others == 0);
    CHECK(surge.limited > 0);
    CHECK(surge.worstWindow() <= bound);
    CHECK(static_cast<double>(surge.served.size()) >= rate * 11);
    // One token takes a quarter of a second; a debt of the tolerance is paid back within a few.
    CHECK(surge.minRetryAfterS >= 1.0 / rate);
    CHECK(surge.maxRetryAfterS <= 10);
    CHECK(othersServed == othersSent);
    int limited = 0;
    for (int i = 0; i < gateways; ++i) {
        CHECK(Fleet::metric(fleet.gateway(i), "limited_organisations") == 1);
        limited += Fleet::metric(fleet.gateway(i), "refused_allowance_total").value_or(0);
    }
    CHECK(limited == surge.limited);
    // Without the limit, all are served again.
    putConfiguration(fleet, 3, tenants(""));
    REQUIRE(waitConfigured(fleet, gateways, 3));
    for (int n = 0; n < 60; ++n)
        CHECK(callWithKey(fleet.gateway(n % gateways), "u" + std::to_string(n), "ks").status == 200);
    CHECK(Fleet::metric(fleet.gateway(0), "limited_organisations") == 0);
}

namespace {

struct LeaderCase {
    std::string what;
    bool isKilled; // else it is told to stop
    int firstPort;
};

const LeaderCase leaderCases[] = {
    { "the leading relay is killed", true, 20740 },
    { "the leading relay is told to stop", false, 20744 },
};

// The gateway that reads the store for all; nullopt while there are none or several.
std::optional<int> leader(Fleet& fleet, const std::vector<int>& running)
{
    std::optional<int> found;
    for (int i : running) {
        if (Fleet::metric(fleet.gateway(i), "reading_store") != 1)
            continue;
        if (found)
            return std::nullopt;
        found = i;
    }
    return found;
}

}

// Guards against a fleet that admits everything, or nothing, while the new leading relay does not know the demand yet.
TEST_CASE("When the leading relay is replaced, the fractions of limited organisations stay in force")
{
    constexpr int gateways = 4;
    constexpr auto before = std::chrono::seconds(8);
    constexpr auto after = std::chrono::seconds(8);
    // Requests a second of the limited organisation, far beyond its rate.
    constexpr auto interval = std::chrono::milliseconds(20);
    for (const auto& row : leaderCases) {
        CAPTURE(row.what);
        Fleet fleet(gateways, row.firstPort);
        putConfiguration(fleet, 2, tenants(R"(,"rate_per_s":4,"burst":4)"));
        REQUIRE(fleet.waitReady());
        REQUIRE(waitConfigured(fleet, gateways, 2));
        std::vector<int> running { 0, 1, 2, 3 };
        REQUIRE(eventually([&] { return leader(fleet, running).has_value(); }));
        Surge surge;
        int n = 0;
        auto callUntil = [&](Common::TimePoint end) {
            for (; std::chrono::steady_clock::now() < end; ++n) {
                auto response = callWithKey(fleet.gateway(running[static_cast<std::size_t>(n) % running.size()]), "s" + std::to_string(n), "ks");
                ++surge.sent;
                if (response.status == 200)
                    surge.served.push_back(std::chrono::steady_clock::now());
                else
                    ++(response.status == 429 ? surge.limited : surge.others);
                std::this_thread::sleep_for(interval);
            }
        };
        callUntil(std::chrono::steady_clock::now() + before);
        REQUIRE(surge.limited > 0);
        auto old = leader(fleet, running);
        REQUIRE(old);
        std::erase(running, *old);
        auto replacedAt = std::chrono::steady_clock::now();
        if (row.isKilled)
            fleet.stop(*old);
        else
            fleet.gateway(*old).daemon().shutDown();
        // The fractions are in force at each moment until the new one has its first reports, and afterwards.
        auto lowestLimited = gateways;
        while (std::chrono::steady_clock::now() < replacedAt + after) {
            callUntil(std::chrono::steady_clock::now() + std::chrono::milliseconds(100));
            for (int i : running)
                lowestLimited = std::min(lowestLimited, Fleet::metric(fleet.gateway(i), "limited_organisations").value_or(0));
        }
        CHECK(lowestLimited == 1);
        auto next = leader(fleet, running);
        CHECK(next.has_value());
        auto servedAfter = std::count_if(surge.served.begin(), surge.served.end(), [&](const auto& at) { return at >= replacedAt + after / 2; });
        auto bound = (rate * windowS + burst) * 1.1 + 20;
        MESSAGE(row.what << ": sent " << surge.sent << ", served " << surge.served.size() << ", worst window " << surge.worstWindow() << " of " << bound << ", in the last 4 s "
                         << servedAfter << ", others " << surge.others);
        CHECK(surge.others == 0);
        CHECK(surge.worstWindow() <= bound);
        // Half of the rate at least, once the new one knows the demand.
        CHECK(static_cast<double>(servedAfter) >= rate * 2);
    }
}

// Guards against gateways that report all at the same time, after they were answered together: the relay would learn of a surge only once in each
// wait. Guards also against more requests where there is nothing to report.
TEST_CASE("After an early answer a gateway asks a relay for a random part of its wait, if organisations have limits")
{
    struct Row {
        std::string limit;
        bool isPart = false;
    };
    for (const auto& row : { Row { R"(,"rate_per_s":4,"burst":4)", true }, Row { "", false } }) {
        CAPTURE(row.limit);
        constexpr std::size_t requests = 12;
        GatewayFixture fixture(1);
        fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, configuration(2, R"({"small":{"api_keys":["ks"])" + row.limit + "}}")); });
        auto relay = fixture.thread.call([&] { return std::make_unique<FakeRelay>(fixture.thread.loop(), *fixture.store, 4); });
        auto waits = [&] { return fixture.thread.call([&] { return relay->waits(); }); };
        auto gateway = fixture.gateway({ relay->address() }, "127.0.0.1:18439");
        REQUIRE(gateway->waitReady());
        auto isSteady = [&] {
            auto all = waits();
            return all.size() > 2 && all.back() > Common::Duration::zero() && all.back() == all[all.size() - 2] && all.back() == all[all.size() - 3];
        };
        REQUIRE(eventually(isSteady));
        auto whole = waits().back();
        fixture.thread.call([&] { relay->setHolding(false); });
        auto before = waits().size() + 1; // the one that is held has the whole wait
        REQUIRE(eventually([&] { return waits().size() >= before + requests; }));
        auto all = waits();
        auto parts = std::count_if(all.begin() + static_cast<std::ptrdiff_t>(before), all.end(), [&](auto wait) { return wait < whole; });
        MESSAGE("whole wait " << Common::toMilliseconds(whole) << " ms, of " << all.size() - before << " requests after early answers " << parts << " with a part of it");
        // The answer to a very short wait is not early.
        if (row.isPart)
            CHECK(parts >= static_cast<std::ptrdiff_t>(requests) / 2);
        else
            CHECK(parts == 0);
        fixture.thread.call([&] { relay->setHolding(true); });
        CHECK(eventually([&] { return isSteady() && waits().back() == whole; }));
        gateway.reset();
        fixture.thread.call([&] { relay.reset(); });
    }
}
