#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Bench/BackendStandIn.h"
#include "Bench/HttpClient.h"

namespace Bench {

// Lets backend servers call on through an entry: /deep/N asks for /deep/N-1, as a service that is built on others does.
// It passes on what is left of the deadline and the count of retries, as callers inside a chain of calls should.
class DeepCalls {
public:
    void setEntries(std::vector<std::string> entries);
    // For one service's servers. The clients must go before the loops: call clear() first.
    CallOn hook(const std::string& service);
    void clear();

private:
    void callOn(EventLoop&, const std::string& service, const BackendCall&, const std::function<void(int)>& done);

    std::mutex m_mutex;
    std::vector<std::string> m_entries;
    std::size_t m_next = 0;
    std::map<EventLoop*, std::unique_ptr<HttpClient>> m_clients; // each used on its own loop only
};

}
