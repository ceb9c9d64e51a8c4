#include "Bench/Scenario.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Bench {

namespace {

    using std::chrono::milliseconds;

    Plan steady(const PlanInput& input)
    {
        Plan plan;
        plan.faults.push_back({ .kind = FaultKind::RecordChange, .at = input.duration / 2, .length = {}, .targets = {} });
        if (input.deployment.name != "small")
            return plan;
        // The size at which the entry's own time is stated: one entry, a load that leaves the servers idle.
        plan.callsPerSecond = 3000;
        plan.serviceTime = milliseconds(1);
        plan.fixedServiceTime = true;
        plan.baselines = true;
        return plan;
    }

    Plan steady90(const PlanInput&)
    {
        Plan plan;
        plan.load = 0.9;
        return plan;
    }

    Plan burst(const PlanInput&)
    {
        Plan plan;
        plan.load = 0.4;
        plan.burst.factor = 4;
        return plan;
    }

    // At any time about a fifth of the servers is slowed by its neighbours.
    Plan noisyNeighbours(const PlanInput& input)
    {
        constexpr auto slowTime = milliseconds(300);
        constexpr double slowShare = 0.2;
        Plan plan;
        std::mt19937_64 random(input.seed);
        for (std::size_t service = 0; service < input.deployment.services.size(); ++service) {
            for (auto server : serversOf(input.deployment, service)) {
                std::exponential_distribution<double> quietMs(1 / (static_cast<double>(slowTime.count()) * (1 - slowShare) / slowShare));
                auto at = Common::fromMilliseconds(quietMs(random));
                while (at < input.duration) {
                    plan.faults.push_back({ .kind = FaultKind::Slow, .at = at, .length = slowTime, .targets = { server }, .factor = 5 });
                    at += slowTime + Common::fromMilliseconds(quietMs(random));
                }
            }
        }
        plan.load = 0.5;
        return plan;
    }

    Plan mixedSizes(const PlanInput&)
    {
        Plan plan;
        plan.sizeRatio = 4;
        return plan;
    }

    Plan reports(const PlanInput& input, FaultKind kind)
    {
        constexpr double share = 0.3;
        Plan plan;
        auto servers = drawServers(input, share);
        plan.faults.push_back({ .kind = kind, .at = input.duration / 5, .length = {}, .targets = servers });
        plan.faults.push_back({ .kind = FaultKind::Slow, .at = input.duration / 4, .length = input.duration / 2, .targets = { servers.front() }, .factor = 3 });
        plan.load = 0.6;
        return plan;
    }

    Plan frozenReports(const PlanInput& input)
    {
        return reports(input, FaultKind::FrozenReports);
    }

    Plan lyingReports(const PlanInput& input)
    {
        return reports(input, FaultKind::LyingReports);
    }

    Plan slowServer(const PlanInput& input)
    {
        Plan plan;
        plan.faults.push_back({ .kind = FaultKind::Slow, .at = input.duration / 4, .length = input.duration / 2, .targets = drawServers(input, 0), .factor = 10 });
        plan.load = 0.6;
        return plan;
    }

    Plan crash(const PlanInput& input)
    {
        Plan plan;
        plan.faults.push_back({ .kind = FaultKind::Crash, .at = input.duration / 4, .length = input.duration / 4, .targets = drawServers(input, 0) });
        plan.load = 0.6;
        // What ran when its server went is unknown.
        plan.expectation = { .leastAnswered = 0.98, .mostUnknown = 0.02 };
        return plan;
    }

    Plan coldStart(const PlanInput& input)
    {
        constexpr double share = 0.3;
        Plan plan;
        auto servers = drawServers(input, share);
        plan.faults.push_back({ .kind = FaultKind::Crash, .at = input.duration / 5, .length = milliseconds(500), .targets = servers });
        plan.load = 0.5;
        plan.expectation = { .leastAnswered = 0.97, .mostUnknown = 0.03 };
        return plan;
    }

    Plan drain(const PlanInput& input)
    {
        Plan plan;
        auto servers = drawServers(input, 0.34);
        auto half = static_cast<std::ptrdiff_t>(servers.size() / 2);
        std::vector<int> warned(servers.begin(), servers.begin() + half);
        std::vector<int> unwarned(servers.begin() + half, servers.end());
        plan.faults.push_back({ .kind = FaultKind::DrainWithWarning, .at = input.duration / 5, .length = {}, .targets = warned });
        plan.faults.push_back({ .kind = FaultKind::DrainWithoutWarning, .at = input.duration / 4, .length = {}, .targets = unwarned });
        plan.load = 0.5;
        plan.expectation = { .leastAnswered = 0.99, .mostUnknown = 0.005 };
        return plan;
    }

    Plan silentConnections(const PlanInput& input)
    {
        Plan plan;
        plan.faults.push_back({ .kind = FaultKind::SilentConnections, .at = input.duration / 3, .length = {}, .targets = drawServers(input, 0.2) });
        plan.load = 0.5;
        plan.deadlineMs = 1000;
        plan.expectation = { .leastAnswered = 0.98, .mostUnknown = 0.02 };
        return plan;
    }

    Plan cutAnswers(const PlanInput& input)
    {
        Plan plan;
        constexpr double share = 0.02;
        auto servers = drawServers(input, 0.3);
        for (auto kind : { FaultKind::CutAnswers, FaultKind::CutChunkedAnswers, FaultKind::ResetAnswers })
            plan.faults.push_back({ .kind = kind, .at = input.duration / 5, .length = input.duration / 2, .targets = servers, .factor = 1, .share = share });
        plan.load = 0.5;
        plan.expectation = { .leastAnswered = 0.97, .mostUnknown = 0.03 };
        return plan;
    }

    Plan lateAnswers(const PlanInput& input)
    {
        Plan plan;
        auto servers = drawServers(input, 0.3);
        plan.faults.push_back({ .kind = FaultKind::LateAnswers, .at = input.duration / 5, .length = input.duration / 2, .targets = servers, .factor = 1, .share = 0.02, .delay = milliseconds(1500) });
        plan.load = 0.5;
        plan.deadlineMs = 1000;
        plan.expectation = { .leastAnswered = 0.97, .mostUnknown = 0.03 };
        return plan;
    }

    Plan overload(const PlanInput&)
    {
        Plan plan;
        plan.load = 3;
        plan.deadlineMs = 1000;
        plan.expectation = { .leastAnswered = 0, .mostUnknown = 0.02, .entriesMayDie = false, .leastGoodput = 0.9 };
        return plan;
    }

    Plan storeOutage(const PlanInput& input)
    {
        Plan plan;
        plan.faults.push_back({ .kind = FaultKind::StoreDown, .at = input.duration / 4, .length = input.duration / 4, .targets = {} });
        plan.faults.push_back({ .kind = FaultKind::StoreSlow, .at = input.duration * 5 / 8, .length = input.duration / 4, .targets = {}, .factor = 1, .share = 1, .delay = milliseconds(800) });
        plan.load = 0.5;
        // Claims are refused as not run while the store is down.
        plan.expectation = { .leastAnswered = 0.85, .mostUnknown = 0.02 };
        return plan;
    }

    constexpr std::array scenarioTable {
        Scenario { "steady", "70% load and one change of records; at small 3,000 calls/s with direct and relayed slices between", steady },
        Scenario { "steady-90", "90% load", steady90 },
        Scenario { "burst", "40% load, four times as much for 200 ms every 2 s", burst },
        Scenario { "noisy-neighbours", "a fifth of the servers five times slower for 300 ms at random", noisyNeighbours },
        Scenario { "mixed-sizes", "servers of one pool differ 1:4", mixedSizes },
        Scenario { "frozen-reports", "load reports of some servers stand still, one of these turns slow", frozenReports },
        Scenario { "lying-reports", "some servers report to be idle, one of these turns slow", lyingReports },
        Scenario { "slow-server", "a server of each service is ten times slower for half the time", slowServer },
        Scenario { "crash", "a server of each service goes and comes back cold", crash },
        Scenario { "cold-start", "a third of the servers comes back cold at once", coldStart },
        Scenario { "drain", "servers leave, with warning and without", drain },
        Scenario { "silent-connections", "open connections of some servers go silent for good", silentConnections },
        Scenario { "cut-answers", "answers cut short, chunked or not, and reset half-way", cutAnswers },
        Scenario { "late-answers", "some answers come after the deadline", lateAnswers },
        Scenario { "overload", "three times the capacity", overload },
        Scenario { "store-outage", "the platform's store is down, then slow", storeOutage },
    };

}

std::span<const Scenario> scenarios()
{
    return scenarioTable;
}

const Scenario* findScenario(std::string_view name)
{
    const auto* it = std::find_if(scenarioTable.begin(), scenarioTable.end(), [&](const auto& scenario) { return scenario.name == name; });
    return it == scenarioTable.end() ? nullptr : &*it;
}

std::vector<int> serversOf(const Deployment& deployment, std::size_t service)
{
    int first = 0;
    for (std::size_t i = 0; i < service; ++i)
        first += deployment.services[i].servers;
    std::vector<int> servers;
    for (int i = 0; i < deployment.services[service].servers; ++i)
        servers.push_back(first + i);
    return servers;
}

std::vector<int> drawServers(const PlanInput& input, double share)
{
    std::mt19937_64 random(input.seed);
    std::vector<int> drawn;
    for (std::size_t service = 0; service < input.deployment.services.size(); ++service) {
        auto servers = serversOf(input.deployment, service);
        std::shuffle(servers.begin(), servers.end(), random);
        auto n = std::max(1L, std::lround(share * static_cast<double>(servers.size())));
        drawn.insert(drawn.end(), servers.begin(), servers.begin() + n);
    }
    return drawn;
}

}
