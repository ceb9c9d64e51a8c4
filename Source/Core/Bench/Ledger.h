#pragma once

#include <array>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"

namespace Bench {

// One execution of a request: it counts from the moment work on it begins.
struct Run {
    int server = 0;
    Common::TimePoint at;
};

// What backend servers really ran, by request id: what every call is checked against. Thread-safe, in shards.
class Ledger {
public:
    void ran(const std::string& id, const Run&);
    void probed(const std::string& service, Common::TimePoint);
    // The first sign of a server's leaving that anybody outside could have seen; later ones change nothing.
    void signedOff(int server, Common::TimePoint);

    std::vector<Run> runs(const std::string& id) const;
    std::vector<Run> allRuns() const;
    // Probes of one service, in time order.
    std::vector<Common::TimePoint> probes(const std::string& service) const;
    std::map<int, Common::TimePoint> leaving() const;

private:
    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<std::string, std::vector<Run>> runs;
    };

    Shard& shard(const std::string& id) const;

    static constexpr std::size_t shardCount = 64;
    mutable std::array<Shard, shardCount> m_shards;
    mutable std::mutex m_mutex; // of all below
    std::map<std::string, std::vector<Common::TimePoint>> m_probes;
    std::map<int, Common::TimePoint> m_leaving;
};

}
