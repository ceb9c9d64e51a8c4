#include "Bench/Oracle.h"

#include <optional>
#include <queue>

namespace Bench {

namespace {

    struct Completion {
        Common::Duration at;
        std::size_t server;

        bool operator>(const Completion& other) const { return at > other.at; }
    };

    bool isActive(const Fault& fault, Common::Duration at)
    {
        return at >= fault.at && (fault.length <= Common::Duration::zero() || at < fault.at + fault.length);
    }

    bool stopsWork(FaultKind kind)
    {
        return kind == FaultKind::Crash || kind == FaultKind::DrainWithWarning || kind == FaultKind::DrainWithoutWarning;
    }

    struct Free {
        std::size_t server;
        double slowness;
    };

    std::optional<Free> fastestFree(const std::vector<OracleServer>& servers, const std::vector<int>& busy, Common::Duration at)
    {
        std::optional<Free> best;
        for (std::size_t i = 0; i < servers.size(); ++i) {
            if (busy[i] >= servers[i].slots)
                continue;
            auto slowness = slownessAt(servers[i], at);
            if (slowness > 0 && (!best || slowness < best->slowness))
                best = { .server = i, .slowness = slowness };
        }
        return best;
    }

}

double slownessAt(const OracleServer& server, Common::Duration at)
{
    double slowness = 1 / server.speed;
    for (const auto& fault : server.faults) {
        if (!isActive(fault, at))
            continue;
        if (stopsWork(fault.kind))
            return 0;
        if (fault.kind == FaultKind::Slow)
            slowness *= fault.factor;
    }
    return slowness;
}

std::vector<Common::Duration> oracleLatencies(const std::vector<OracleServer>& servers, const std::vector<OracleCall>& calls)
{
    // Servers change by themselves, so a queue that found none is looked at again after this time.
    constexpr auto lookAgain = std::chrono::milliseconds(5);
    std::vector<Common::Duration> latencies;
    std::vector<int> busy(servers.size(), 0);
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions;
    Common::Duration now {};
    auto free = [&](Common::Duration until) {
        while (!completions.empty() && completions.top().at <= until) {
            --busy[completions.top().server];
            completions.pop();
        }
    };
    // In order, each call starts at the first moment at or after its predecessor's start that has a free slot.
    for (const auto& call : calls) {
        now = std::max(now, call.at);
        free(now);
        auto slot = fastestFree(servers, busy, now);
        while (!slot) {
            auto next = now + lookAgain;
            if (!completions.empty())
                next = std::min<Common::Duration>(next, completions.top().at);
            now = next;
            free(now);
            slot = fastestFree(servers, busy, now);
        }
        auto end = now + std::chrono::duration_cast<Common::Duration>(call.work * slot->slowness);
        ++busy[slot->server];
        completions.push({ .at = end, .server = slot->server });
        latencies.push_back(end - call.at);
    }
    return latencies;
}

}
