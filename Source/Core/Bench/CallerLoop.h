#pragma once

#include <random>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Bench/Directory.h"
#include "Bench/LoadGenerator.h"

namespace Bench {

// One thread of the load: its own arrivals, callers, directories and connections.
class CallerLoop {
public:
    CallerLoop(const LoadOptions&, int number);

    // Lets callers ask for the directory before the load begins.
    void prepare();
    void start(Common::TimePoint start);
    // Waits until every call has ended.
    void join();

    std::vector<CallRecord>& records() { return m_records; }
    std::size_t connections() const { return m_client.connections(); }

private:
    void plan();
    void planService(int service, std::mt19937_64&);
    double rateAt(const LoadService&, Common::Duration at, Common::Duration& until) const;
    void startDue();
    void begin(std::size_t index);
    void send(std::size_t index, const std::string& except);
    void answered(std::size_t index, const std::string& address, const ClientAnswer&);
    bool mayResend(const CallRecord&) const;
    void finish(CallRecord&);
    Route routeAt(Common::TimePoint) const;
    std::string target(const CallRecord&, const std::string& except);
    std::string text(const CallRecord&) const;

    const LoadOptions& m_options;
    int m_number;
    EventLoop m_loop;
    HttpClient m_client;
    boost::asio::steady_timer m_timer;
    std::vector<Directory> m_directories; // one a failure domain
    std::mt19937_64 m_random;
    Common::TimePoint m_start;
    std::vector<CallRecord> m_records; // by intended time
    std::size_t m_next = 0;
    std::size_t m_ended = 0;
    std::size_t m_nextDirect = 0;
    std::atomic<bool> m_done { false };
};

}
