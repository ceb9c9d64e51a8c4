#include "Bench/Scenario.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "Bench/RecordSeed.h"

namespace Bench {

namespace {

    using std::chrono::milliseconds;

    std::vector<int> allServers(const Deployment& deployment)
    {
        std::vector<int> all;
        for (std::size_t service = 0; service < deployment.services.size(); ++service) {
            auto servers = serversOf(deployment, service);
            all.insert(all.end(), servers.begin(), servers.end());
        }
        return all;
    }

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

    Plan overload(const PlanInput& input)
    {
        Plan plan;
        plan.load = 3;
        // Slower servers, so that three times their capacity is still a load that the bench's own machine can make.
        plan.serviceTime = 3 * input.deployment.serviceTime;
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

    // Calls 18 servers deep; after a fifth of the time every server cuts every answer, so that every layer would try again.
    Plan deepCalls(const PlanInput& input)
    {
        constexpr int depth = 18;
        Plan plan;
        plan.depth = depth;
        plan.callsPerSecond = 30;
        plan.deadlineMs = 4000;
        plan.faults.push_back({ .kind = FaultKind::ResetAnswers, .at = input.duration / 5, .length = {}, .targets = allServers(input.deployment) });
        plan.expectation = { .leastAnswered = 0.15, .mostUnknown = 0.85, .mostWorkFactor = 1.2 };
        return plan;
    }

    // All entries, in a few lanes beside one another.
    Plan rollingRestart(const PlanInput& input)
    {
        constexpr int lanes = 4;
        Plan plan;
        plan.load = 0.5;
        std::vector<Fault> restarts(lanes, { .kind = FaultKind::EntryRestart, .at = input.duration / 10, .length = {}, .targets = {} });
        for (int entry = 0; entry < input.deployment.entries; ++entry)
            restarts[static_cast<std::size_t>(entry % lanes)].targets.push_back(entry);
        std::erase_if(restarts, [](const auto& fault) { return fault.targets.empty(); });
        plan.faults = restarts;
        plan.failureDomains = 2;
        plan.expectation.mostConnectFailures = 0;
        return plan;
    }

    Plan lostWriteAnswers(const PlanInput& input)
    {
        Plan plan;
        plan.load = 0.3;
        plan.resendUnknown = true;
        for (auto kind : { FaultKind::LostWriteAnswers, FaultKind::LostWrites })
            plan.faults.push_back({ .kind = kind, .at = input.duration / 10, .length = input.duration * 4 / 5, .targets = {}, .factor = 1, .share = 0.2 });
        for (int i = 1; i <= 4; ++i)
            plan.faults.push_back({ .kind = FaultKind::RecordChange, .at = input.duration * i / 6, .length = {}, .targets = {} });
        plan.expectation = { .leastAnswered = 0.95, .mostUnknown = 0.02 };
        return plan;
    }

    Plan operatorRace(const PlanInput& input)
    {
        Plan plan;
        plan.load = 0.4;
        plan.operators = 4;
        plan.faults.push_back({ .kind = FaultKind::LostWriteAnswers, .at = input.duration / 10, .length = input.duration * 3 / 5, .targets = {}, .factor = 1, .share = 0.2 });
        return plan;
    }

    // Entries and backend servers of one failure domain go at once, and come back later.
    Plan domainLost(const PlanInput& input)
    {
        Plan plan;
        plan.load = 0.4;
        plan.failureDomains = 2;
        auto domains = input.deployment.failureDomains;
        auto lost = static_cast<int>(input.seed % static_cast<std::uint64_t>(domains));
        auto inDomain = [&](int number) { return number % domains != lost; };
        auto servers = allServers(input.deployment);
        std::erase_if(servers, inDomain);
        std::vector<int> entries;
        for (int entry = 0; entry < input.deployment.entries; ++entry)
            entries.push_back(entry);
        std::erase_if(entries, inDomain);
        plan.faults.push_back({ .kind = FaultKind::Crash, .at = input.duration / 4, .length = input.duration / 3, .targets = servers });
        plan.faults.push_back({ .kind = FaultKind::EntryKill, .at = input.duration / 4, .length = input.duration / 3, .targets = entries });
        plan.expectation = { .leastAnswered = 0.95, .mostUnknown = 0.05, .entriesMayDie = true };
        return plan;
    }

    // Old and new forms side by side, then only new ones, then one that no entry understands yet: what was in force stays.
    Plan mixedSchemas(const PlanInput& input)
    {
        const std::vector<std::vector<int>> steps { { 1, 2 }, { 2 }, { 2, futureSchema }, { futureSchema }, { 1, 2 } };
        Plan plan;
        plan.load = 0.4;
        for (std::size_t i = 0; i < steps.size(); ++i)
            plan.faults.push_back({ .kind = FaultKind::RecordChange, .at = input.duration * (static_cast<int>(i) + 1) / 7, .schemas = steps[i] });
        return plan;
    }

    // Some entries stand still in the middle of their talk with the store, while records change.
    Plan pausedReader(const PlanInput& input)
    {
        Plan plan;
        plan.load = 0.4;
        std::vector<int> paused;
        for (int entry = 0; entry < input.deployment.entries; entry += 3)
            paused.push_back(entry);
        plan.faults.push_back({ .kind = FaultKind::EntryPause, .at = input.duration / 4, .length = input.duration / 3, .targets = paused });
        for (int i = 1; i <= 8; ++i)
            plan.faults.push_back({ .kind = FaultKind::RecordChange, .at = input.duration * i / 10, .length = {}, .targets = {} });
        return plan;
    }

    // Everything that may come at any moment, one after another at random, each on a few servers.
    Plan soak(const PlanInput& input)
    {
        constexpr std::array kinds { FaultKind::Slow, FaultKind::Crash, FaultKind::ShedWithProof, FaultKind::ShedWithoutProof, FaultKind::LyingReports, FaultKind::FrozenReports,
            FaultKind::ResetAnswers, FaultKind::CutAnswers, FaultKind::CutChunkedAnswers, FaultKind::LateAnswers, FaultKind::SilentConnections, FaultKind::SlowAccept,
            FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::LostWriteAnswers, FaultKind::LostWrites, FaultKind::RecordChange };
        Plan plan;
        plan.load = 0.4;
        plan.resendUnknown = true;
        std::mt19937_64 random(input.seed);
        auto servers = allServers(input.deployment);
        constexpr auto meanGap = milliseconds(700);
        std::exponential_distribution<double> gapMs(1 / static_cast<double>(meanGap.count()));
        for (Common::Duration at = milliseconds(1000); at < input.duration; at += Common::fromMilliseconds(gapMs(random))) {
            Fault fault { .kind = kinds[random() % kinds.size()], .at = at, .length = milliseconds(500 + random() % 1500), .targets = {} };
            fault.targets = { servers[random() % servers.size()] };
            fault.factor = 6;
            fault.share = 0.05;
            fault.delay = milliseconds(400);
            plan.faults.push_back(fault);
        }
        plan.expectation = { .leastAnswered = 0.9, .mostUnknown = 0.03 };
        return plan;
    }

    // A clue burst while one puzzle server fails.
    Plan demo(const PlanInput& input)
    {
        auto plan = burst(input);
        plan.load = 0.2;
        // It is to be looked at, not measured.
        plan.mostLagMs = 500;
        plan.faults.push_back({ .kind = FaultKind::Crash, .at = input.duration / 3, .length = input.duration / 3, .targets = { drawServers(input, 0).front() } });
        plan.expectation = { .leastAnswered = 0.98, .mostUnknown = 0.02 };
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
        Scenario { "deep-calls", "calls 18 servers deep, every answer cut after a fifth of the time", deepCalls },
        Scenario { "rolling-restart", "every entry is shut down and replaced under load", rollingRestart },
        Scenario { "lost-write-answers", "writes to the store lost, or applied without an answer; claims are sent again", lostWriteAnswers },
        Scenario { "operator-race", "operators change one record at once while answers to writes are lost", operatorRace },
        Scenario { "domain-lost", "entries and servers of one failure domain go at once", domainLost },
        Scenario { "mixed-schemas", "records move from schema 1 to 2, and to one that no entry understands", mixedSchemas },
        Scenario { "paused-reader", "entries stand still in the middle of reading the store, then wake up", pausedReader },
        Scenario { "demo", "a burst while a server of the first service fails", demo },
        Scenario { "soak", "mixed faults at random", soak },
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
