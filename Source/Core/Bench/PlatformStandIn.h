#pragma once

#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <vector>

#include "Bench/Faults.h"
#include "Bench/StandInServer.h"
#include "Common/Clock.h"
#include "Platform/Platform.h"

namespace Bench {

struct PlatformOptions {
    int readsPerSecond = 2000; // more are refused with 429
    int writesPerSecond = 500;
    Common::Duration instancesLag = std::chrono::milliseconds(0);
    std::uint64_t seed = 1;
};

struct PlatformCounts {
    std::atomic<std::uint64_t> reads { 0 }; // of rows and objects
    std::atomic<std::uint64_t> writes { 0 };
    std::atomic<std::uint64_t> listings { 0 }; // of instances
    std::atomic<std::uint64_t> refused { 0 }; // above the rate
    std::atomic<std::uint64_t> answersLost { 0 }; // writes whose answer was withheld, applied or not
};

// The platform's published HTTP interface, in memory.
class PlatformStandIn {
public:
    explicit PlatformStandIn(PlatformOptions = {});

    std::string address() const { return m_server.address(); }
    // Seen by those who ask once the list's lag has passed.
    void setInstances(std::vector<Platform::Instance>);
    Platform::TransactionResult commit(const Platform::Transaction&);
    std::optional<Platform::Row> row(const std::string& key) const;

    void begin(const Fault&);
    void end(FaultKind);
    const PlatformCounts& counts() const { return m_counts; }
    // Told of each instance list that is handed out.
    void onListing(std::function<void(const std::vector<Platform::Instance>&)>);

private:
    void handle(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void handleTable(const std::string& path, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void handleObject(const std::string& key, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

    struct Listing {
        Common::TimePoint at;
        std::vector<Platform::Instance> instances;
    };
    // Requests served in the present second.
    struct Rate {
        Common::TimePoint second;
        int count = 0;
    };

    // Whether the request may go on to the state; false when a fault has dealt with it.
    bool admit(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    bool overRate(Rate&, int limit);
    bool draw(FaultKind);
    bool loses(FaultKind); // draw() under the lock
    void handleInstances(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void takeInstances(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    std::vector<Platform::Instance> listed();

    PlatformOptions m_options;
    PlatformCounts m_counts;
    mutable std::mutex m_mutex;
    std::map<std::string, Platform::Row> m_rows;
    std::map<std::string, Platform::Object> m_objects;
    std::deque<Listing> m_listings; // oldest first
    std::function<void(const std::vector<Platform::Instance>&)> m_onListing;
    std::array<std::optional<Fault>, faultNames.size()> m_faults;
    Rate m_reads;
    Rate m_writes;
    std::mt19937_64 m_random;
    std::uint64_t m_lastVersion = 0;
    StandInServer m_server; // last: it must not serve before or after the state's life
};

}
