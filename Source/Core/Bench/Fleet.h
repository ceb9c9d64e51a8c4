#pragma once

#include <memory>
#include <mutex>
#include <vector>

#include "Bench/BackendStandIn.h"
#include "Bench/DeepCalls.h"
#include "Bench/PausedPlatform.h"
#include "Bench/PlatformStandIn.h"
#include "Bench/RecordSeed.h"
#include "Bench/Scenario.h"
#include "Entry/Daemon.h"

namespace Bench {

struct FleetOptions {
    const Deployment& deployment;
    const Plan& plan;
    SeedOptions records;
    std::uint64_t seed = 1;
    int backendLoops = 4; // threads for all backend stand-ins
};

// Everything one run needs, on loopback: platform, backend servers and entries. Thread-safe where faults act on it.
class Fleet {
public:
    explicit Fleet(const FleetOptions&);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    // Writes the records and starts the entries; false when that failed.
    bool start();
    void stopEntries();

    void begin(const Fault&);
    void end(const Fault&);

    std::vector<std::string> entryAddresses() const;
    std::vector<std::string> backendAddresses(std::size_t service) const;
    Ledger& ledger() { return m_ledger; }
    PlatformStandIn& platform() { return m_platform; }
    RecordSeed& records() { return m_records; }
    const std::vector<std::unique_ptr<BackendStandIn>>& servers() const { return m_servers; }
    // Looks at every entry that is up, one after another.
    void forEachEntry(const std::function<void(Entry::Daemon&)>&) const;
    // Calls/s that the servers of a service can serve in all.
    double capacity(std::size_t service) const;
    // The longest that a change of records took until all entries had it in force, in ms; 0 without a change.
    double configInForceMs() const { return m_configInForceMs; }
    // Entries that a graceful shutdown under load could not end cleanly.
    int forcedStops() const { return m_forcedStops; }

private:
    struct EntrySlot {
        std::unique_ptr<Entry::Daemon> daemon;
        std::shared_ptr<PausedPlatform> platform;
        bool leaving = false;
        bool dead = false;
    };

    void addServers();
    EntrySlot startEntry(int number);
    void restartEntry(int number);
    void killEntry(int number);
    void replaceEntry(int number);
    void beginOnEntries(const Fault&);
    void setServersLeaving(const std::vector<int>& servers);
    void publishInstances();
    void waitUntilReady() const;
    std::string domainOf(std::size_t number) const;
    void noteListing(const std::vector<Platform::Instance>&);
    void changeRecords(const std::vector<int>& schemas);

    FleetOptions m_options;
    Ledger m_ledger;
    PlatformStandIn m_platform;
    RecordSeed m_records;
    DeepCalls m_deepCalls;
    std::vector<std::unique_ptr<EventLoop>> m_loops;
    std::vector<std::unique_ptr<BackendStandIn>> m_servers; // of all services, by number
    mutable std::mutex m_mutex; // of all below
    std::vector<EntrySlot> m_entries;
    std::vector<bool> m_serverLeaving; // as the platform lists it
    std::atomic<double> m_configInForceMs { 0 };
    std::atomic<int> m_forcedStops { 0 };
};

}
