#include "Bench/Deployment.h"

#include <algorithm>

namespace Bench {

namespace {

    constexpr auto meanWork = std::chrono::milliseconds(20);
    constexpr auto smallWork = std::chrono::milliseconds(8);

    std::vector<CallKind> puzzleCalls()
    {
        return {
            { .method = "GET", .path = "/clue", .share = 0.7 },
            { .method = "POST", .path = "/answers", .share = 0.3, .never = true },
        };
    }

    Deployment lisbon()
    {
        ServiceShape puzzle { .name = "puzzle", .servers = 25, .slots = 4, .probeBudget = 40, .calls = puzzleCalls() };
        ServiceShape prize {
            .name = "prize",
            .servers = 6,
            .slots = 4,
            .probeBudget = 10,
            .calls = {
                { .method = "GET", .path = "/standings", .share = 0.8 },
                { .method = "POST", .path = "/claims", .share = 0.2, .never = true, .claim = true },
            },
        };
        return { .name = "lisbon", .entries = 22, .failureDomains = 3, .serviceTime = meanWork, .goal = Records::Goal::Latency, .services = { puzzle, prize } };
    }

    Deployment luzon()
    {
        ServiceShape desk {
            .name = "desk",
            .servers = 30,
            .slots = 6,
            .probeBudget = 30,
            .calls = {
                { .method = "GET", .path = "/schedules", .share = 0.8 },
                { .method = "POST", .path = "/reservations", .share = 0.2, .never = true },
            },
        };
        ServiceShape cashier {
            .name = "cashier",
            .servers = 8,
            .slots = 6,
            .probeBudget = 8,
            .calls = {
                { .method = "GET", .path = "/balance", .share = 0.9 },
                { .method = "POST", .path = "/fees", .share = 0.1, .never = true, .claim = true },
            },
        };
        return { .name = "luzon", .entries = 22, .failureDomains = 4, .serviceTime = meanWork, .goal = Records::Goal::ProbeCost, .services = { desk, cashier } };
    }

    Deployment small()
    {
        ServiceShape puzzle { .name = "puzzle", .servers = 6, .slots = 4, .probeBudget = 10, .calls = puzzleCalls() };
        return { .name = "small", .entries = 1, .failureDomains = 1, .serviceTime = smallWork, .goal = Records::Goal::Latency, .services = { puzzle } };
    }

}

std::span<const Deployment> deployments()
{
    static const std::vector<Deployment> all { lisbon(), luzon(), small() };
    return all;
}

const Deployment* findDeployment(const std::string& name)
{
    auto all = deployments();
    auto it = std::find_if(all.begin(), all.end(), [&](const auto& deployment) { return deployment.name == name; });
    return it == all.end() ? nullptr : &*it;
}

std::string domainName(int index)
{
    return { static_cast<char>('a' + index) };
}

}
