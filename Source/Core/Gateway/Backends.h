#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/EventLog.h"
#include "Gateway/Backend.h"
#include "Gateway/Configuration.h"

namespace Gateway {

struct BackendsOptions {
    WireHeaders headers;
    std::string failureDomain;
    Net::ClientOptions client;
};

// All backend servers that the registry names, by service.
class Backends {
public:
    Backends(Net::EventLoop&, Common::EventLog&, BackendsOptions);

    // A newer registry entry, with the registry's version of it.
    void put(const ServerRecord&, std::uint64_t version);
    void remove(const std::string& id, std::uint64_t version);
    void setServices(const std::map<std::string, Service, std::less<>>&);
    // How many entries share the servers' connections.
    void setEntries(int entries);

    // Servers that may take work; `exclude` by id. Own failure domain or all others.
    std::vector<std::shared_ptr<Backend>> candidates(const std::string& service, bool ownDomain, const std::set<std::string>& exclude);
    std::size_t usable(const std::string& service) const;
    std::size_t size() const { return m_backends.size(); }
    std::uint64_t connectionsOpened() const;

    // Housekeeping, about once a second.
    void sweep();

private:
    BackendOptions optionsFor(const std::string& service) const;

    Net::EventLoop& m_loop;
    Common::EventLog& m_log;
    BackendsOptions m_options;
    int m_entries = 1;
    std::map<std::string, Service, std::less<>> m_services;
    std::unordered_map<std::string, std::shared_ptr<Backend>> m_backends; // by id
    std::unordered_map<std::string, std::vector<std::shared_ptr<Backend>>> m_byService;
    std::uint64_t m_openedByRemoved = 0;
};

}
