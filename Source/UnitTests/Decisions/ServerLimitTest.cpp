#include "Decisions/ServerLimit.h"

#include <deque>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace {

using std::chrono::milliseconds;

struct HeaderCase {
    std::string text;
    std::optional<double> perSecond;
};

const HeaderCase headerCases[] = {
    { "3.5", 3.5 },
    { "12", 12 },
    { "0", 0 },
    { "1e3", 1000 },
    { "", std::nullopt },
    { "-1", std::nullopt },
    { "nan", std::nullopt },
    { "inf", std::nullopt },
    { "1e999", std::nullopt },
    { "4 a second", std::nullopt },
    { "0x10", std::nullopt },
};

// Gateways that all know a server's limit, with more requests for it than it takes.
struct FleetCase {
    int domains = 1;
    int perDomain = 1;
    double perSecond = 0;
};

const FleetCase fleetCases[] = {
    { 1, 1, 3.5 },
    { 1, 1, 0.5 },
    { 3, 7, 0 },
    { 3, 7, 0.5 },
    { 3, 7, 3.5 },
    { 4, 6, 4.5 },
    { 4, 6, 40 },
    { 3, 73, 0.5 },
    { 3, 73, 3.5 },
    { 3, 73, 200 },
    { 5, 95, 0.5 },
    { 5, 95, 4.5 },
    { 5, 95, 2000 },
};

constexpr auto window = std::chrono::seconds(4);

class LimitedFleet {
public:
    explicit LimitedFleet(const FleetCase& row)
        : m_row(row)
    {
        for (int domain = 0; domain < row.domains; ++domain) {
            m_names.emplace_back();
            for (int i = 0; i < row.perDomain; ++i)
                m_names.back().push_back(fmt::format("10.{}.0.{}:80", domain, i));
        }
    }

    std::vector<Decisions::ServerLimit> limits(Common::TimePoint now) const
    {
        std::vector<Decisions::ServerLimit> limits;
        for (const auto& domain : m_names) {
            for (const auto& self : domain) {
                auto share = Decisions::limitShare("server", m_row.perSecond, { .self = self, .domainMembers = domain, .total = total() });
                limits.emplace_back().set(m_row.perSecond, share, now);
            }
        }
        return limits;
    }
    std::size_t total() const { return static_cast<std::size_t>(m_row.domains) * static_cast<std::size_t>(m_row.perDomain); }

private:
    FleetCase m_row;
    std::vector<std::vector<std::string>> m_names;
};

}

TEST_CASE("Server-Limit is a decimal number; anything else is ignored")
{
    for (const auto& row : headerCases) {
        CAPTURE(row.text);
        CHECK(Decisions::parseLimit(row.text) == row.perSecond);
    }
}

TEST_CASE("All gateways together keep a server's limit in every window, after a pause too, and use it")
{
    for (const auto& row : fleetCases) {
        CAPTURE(row.domains);
        CAPTURE(row.perDomain);
        CAPTURE(row.perSecond);
        LimitedFleet fleet(row);
        auto now = Common::TimePoint(std::chrono::hours(1));
        auto limits = fleet.limits(now);
        auto allowed = 1.5 * row.perSecond * std::chrono::duration<double>(window).count() + 5;
        std::deque<Common::TimePoint> sent;
        auto total = 0.0;
        constexpr auto step = milliseconds(10);
        constexpr int steps = 3000;
        constexpr int idleFrom = 1000;
        constexpr int idleTo = 2000;
        for (int i = 0; i < steps; ++i, now += step) {
            for (auto& limit : limits) {
                while ((i < idleFrom || i >= idleTo) && limit.allows(now)) {
                    limit.take(now);
                    sent.push_back(now);
                    ++total;
                }
            }
            while (!sent.empty() && now - sent.front() >= window)
                sent.pop_front();
            REQUIRE(static_cast<double>(sent.size()) <= allowed);
        }
        auto loadedS = std::chrono::duration<double>(step).count() * (steps - (idleTo - idleFrom));
        // Each failure domain may hold back a part of one request.
        CHECK(total >= 0.75 * row.perSecond * loadedS - row.domains);
    }
}

TEST_CASE("A gateway that the others do not count has no share of a limit")
{
    const std::vector<std::string> members { "10.0.0.1:80", "10.0.0.2:80" };
    CHECK(Decisions::limitShare("server", 100, { .self = "10.0.0.3:80", .domainMembers = members, .total = 2 }) == 0);
    CHECK(Decisions::limitShare("server", 100, { .self = "10.0.0.1:80", .domainMembers = {}, .total = 1 }) == 0);
    CHECK(Decisions::limitShare("server", 100, { .self = "10.0.0.1:80", .domainMembers = members, .total = 2 }) > 0);
}

TEST_CASE("A server's limit named again and again gives no further requests")
{
    auto now = Common::TimePoint(std::chrono::hours(1));
    Decisions::ServerLimit limit;
    limit.set(2, 2, now);
    auto sent = 0;
    for (int i = 0; i < 1000; ++i, now += milliseconds(10)) {
        limit.set(2, 2, now);
        if (limit.allows(now)) {
            limit.take(now);
            ++sent;
        }
    }
    CHECK(sent >= 19);
    CHECK(sent <= 20);
    CHECK((limit.timeLeft(now).value() <= milliseconds(500)));
    limit.set(2, 0, now);
    limit.take(now);
    CHECK(!limit.timeLeft(now));
    limit.clear();
    CHECK(limit.allows(now));
}
