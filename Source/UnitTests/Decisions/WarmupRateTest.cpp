#include "Decisions/ServerLimit.h"

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace {

using std::chrono::milliseconds;

struct HeaderCase {
    std::string text;
    std::optional<double> ms;
};

const HeaderCase headerCases[] = {
    { "0", 0 },
    { "2500", 2500 },
    { "12.5", 12.5 },
    { "99999999999", 3'600'000 },
    { "", std::nullopt },
    { "-1", std::nullopt },
    { "-0", std::nullopt },
    { "+5", std::nullopt },
    { " 5", std::nullopt },
    { "5 ", std::nullopt },
    { "5ms", std::nullopt },
    { "1e3", std::nullopt },
    { "nan", std::nullopt },
    { "inf", std::nullopt },
    { "0x10", std::nullopt },
};

// A fleet whose gateways know of a cold server at different times and, for a while, have different lists of members.
struct WarmupCase {
    std::string what;
    int domains;
    int perDomain;
    double perSecond;
    int servers; // that become cold at once
    double joining; // share of the gateways that others learn of late, each at another time
    double warmPerSecond; // requests that a server gets while gateways take it to be warm
};

const WarmupCase warmupCases[] = {
    { "20 gateways", 2, 10, 3.9, 1, 0, 0 },
    { "20 gateways, members join", 2, 10, 3.9, 1, 0.3, 0 },
    { "45 gateways", 3, 15, 3.9, 1, 0, 0 },
    { "45 gateways, members join", 3, 15, 3.9, 1, 0.3, 0 },
    { "45 gateways in 5 domains, members join", 5, 9, 3.9, 1, 0.1, 0 },
    { "221 gateways, members join", 3, 73, 3.9, 1, 0.1, 0 },
    { "221 gateways, requests while some take it to be warm", 3, 73, 3.9, 1, 0, 3 },
    { "45 gateways, a whole domain of 70 comes back cold", 3, 15, 3.9, 70, 0.1, 0 },
    { "221 gateways, a whole domain of 70 comes back cold", 3, 73, 3.9, 70, 0.1, 0 },
    { "221 gateways, a higher rate", 3, 73, 40, 1, 0.1, 0 },
};

constexpr auto spreadTime = milliseconds(2000); // of news over the fleet

// The largest number of requests in any one second that a server gets, of all the fleet's servers.
class WarmupPlay {
public:
    WarmupPlay(const WarmupCase& row, unsigned seed)
        : m_row(row)
        , m_random(seed)
    {
        for (int domain = 0; domain < row.domains; ++domain) {
            m_names.emplace_back();
            for (int i = 0; i < row.perDomain; ++i)
                m_names.back().push_back(fmt::format("10.{}.{}.{}:80", domain, seed % 250, i));
        }
    }

    std::size_t worst()
    {
        std::size_t worst = 0;
        for (int server = 0; server < m_row.servers; ++server)
            worst = std::max(worst, worstOf(fmt::format("server-{}", server)));
        return worst;
    }
    double sentPerServer() const { return static_cast<double>(m_sent) / m_row.servers; }

private:
    struct Gateway {
        std::size_t domain = 0;
        std::string name;
        int isColdFrom = 0; // ms, when it learns of it
        int listsJoinedFrom = 0; // ms, when it lists the members that join
        bool knowsAll = false;
        Decisions::ServerLimit limit;
    };

    int below(int n) { return static_cast<int>(m_random() % static_cast<unsigned>(std::max(1, n))); }

    double share(const Gateway& gateway, const std::string& server, const std::vector<std::vector<std::string>>& known, std::size_t total)
    {
        return Decisions::limitShare(server, m_row.perSecond, { .self = gateway.name, .domainMembers = known[gateway.domain], .total = total });
    }

    std::size_t worstOf(const std::string& server)
    {
        // The others know the members that join late; these know all.
        auto before = m_names;
        std::vector<std::string> joining;
        for (auto& domain : before) {
            auto n = static_cast<std::size_t>(m_row.joining * static_cast<double>(domain.size()));
            for (; n > 0; --n) {
                auto it = domain.begin() + below(static_cast<int>(domain.size()));
                joining.push_back(*it);
                domain.erase(it);
            }
        }
        auto total = static_cast<std::size_t>(m_row.domains) * static_cast<std::size_t>(m_row.perDomain);
        std::vector<Gateway> gateways;
        for (std::size_t domain = 0; domain < m_names.size(); ++domain) {
            for (const auto& name : m_names[domain]) {
                auto joins = std::find(joining.begin(), joining.end(), name) != joining.end();
                auto spreadMs = static_cast<int>(spreadTime.count());
                gateways.push_back({ .domain = domain, .name = name, .isColdFrom = below(spreadMs), .listsJoinedFrom = joins ? 0 : 1000 + below(spreadMs), .knowsAll = false, .limit = {} });
            }
        }
        auto start = Common::TimePoint(std::chrono::hours(1));
        constexpr int stepMs = 10;
        constexpr int endMs = 8000;
        constexpr int maxDelayMs = 100; // from placement to arrival
        std::vector<int> arrivals;
        for (int ms = 0; ms < endMs; ms += stepMs) {
            auto now = start + milliseconds(ms);
            for (auto& gateway : gateways) {
                if (ms < gateway.isColdFrom) {
                    auto perStep = m_row.warmPerSecond / static_cast<double>(total) * stepMs / 1000;
                    if (static_cast<double>(m_random()) / static_cast<double>(std::mt19937::max()) < perStep) {
                        arrivals.push_back(ms + below(maxDelayMs));
                        gateway.isColdFrom = arrivals.back(); // the answer tells
                    }
                    continue;
                }
                auto knowsAll = ms >= gateway.listsJoinedFrom;
                if (!gateway.limit.isSet() || knowsAll != gateway.knowsAll) {
                    gateway.knowsAll = knowsAll;
                    gateway.limit.set(m_row.perSecond, share(gateway, server, knowsAll ? m_names : before, knowsAll ? total : total - joining.size()), now);
                }
                while (gateway.limit.allows(now)) {
                    gateway.limit.take(now);
                    arrivals.push_back(ms + below(maxDelayMs));
                }
            }
        }
        m_sent += arrivals.size();
        std::sort(arrivals.begin(), arrivals.end());
        std::size_t worst = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < arrivals.size(); ++last) {
            while (arrivals[last] - arrivals[first] >= 1000)
                ++first;
            worst = std::max(worst, last - first + 1);
        }
        return worst;
    }

    WarmupCase m_row;
    std::mt19937 m_random;
    std::vector<std::vector<std::string>> m_names;
    std::size_t m_sent = 0;
};

}

// Guards against a server that is taken out of service, or flooded, by a value that is no time.
TEST_CASE("The remaining warm-up is a decimal number of milliseconds; anything else is ignored")
{
    for (const auto& row : headerCases) {
        CAPTURE(row.text);
        auto parsed = Decisions::parseWarmup(row.text);
        CHECK(parsed.has_value() == row.ms.has_value());
        if (parsed && row.ms)
            CHECK(Common::toMilliseconds(*parsed) == doctest::Approx(*row.ms));
    }
}

// Guards against a cold server that gets a request's worth from each gateway of a large fleet.
TEST_CASE("All gateways together keep the warm-up rate of cold servers in any second, whoever knows of them and of each other")
{
    for (const auto& row : warmupCases) {
        auto bound = static_cast<std::size_t>(1.5 * row.perSecond + 8);
        std::size_t worst = 0;
        auto sent = 0.0;
        auto seeds = row.servers > 1 ? 1U : 20U;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            WarmupPlay play(row, seed);
            worst = std::max(worst, play.worst());
            sent += play.sentPerServer() / seeds;
        }
        MESSAGE(row.what << ": at most " << worst << " in a second, bound " << bound << ", " << sent << " in 8 s");
        CHECK(worst <= bound);
        // A cold server is used, or it would stay idle until it is warm.
        CHECK(sent >= 0.5 * row.perSecond * 8);
    }
}
