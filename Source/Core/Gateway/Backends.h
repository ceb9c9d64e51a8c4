#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/EventLog.h"
#include "Decisions/ServerReachability.h"
#include "Gateway/Backend.h"
#include "Gateway/Configuration.h"

namespace Gateway {

struct BackendsOptions {
    WireHeaders headers;
    std::string failureDomain;
    Net::ClientOptions client;
};

// All backend servers that the registry lists, by service.
class Backends {
public:
    Backends(Net::EventLoop&, Common::EventLog&, BackendsOptions);

    // Adds or updates a server. `version`: the registry's version of the entry, for the log.
    void put(const ServerRecord&, std::uint64_t version);
    void remove(const std::string& id, std::uint64_t version);
    void setServices(const std::map<std::string, Service, std::less<>>&);
    // Failure domains whose servers get nothing new. One of which no server is known has no effect.
    void setEvacuatedDomains(const std::set<std::string>& domains);
    // Number of gateways that share the servers' connections.
    void setGatewayCount(int gatewayCount);

    // The gateways that share the limits of servers: `self` and those of its failure domain, by control address, and how many there
    // are in all.
    void setGateways(const std::string& self, std::vector<std::string> domainMembers, std::size_t total);

    // Servers of the service that may get requests now, without those whose ids are in `exclude`: the ones in the own failure domain, or else
    // those in all others.
    std::vector<std::shared_ptr<Backend>> candidates(const std::string& service, bool ownDomain, const std::set<std::string>& exclude);
    // nullptr if the registry does not list the server.
    std::shared_ptr<Backend> find(const std::string& id) const;
    // Number of servers of the service that are usable, those that pause included.
    std::size_t usableCount(const std::string& service) const;
    // If all usable servers of the service pause: the time until the first one takes requests again.
    std::optional<Common::Duration> pauseLeft(const std::string& service) const;
    // If all usable servers of the service pause or have a limit of which this gateway's share is used up: the time until the first
    // one takes a request again.
    std::optional<Common::Duration> limitLeft(const std::string& service) const;
    Decisions::Reachability reachability(const std::string& service) const;
    // Services whose servers this gateway does not reach, or not over new connections.
    std::size_t unreachableServices() const;
    std::uint64_t failedContacts() const { return m_failedContacts; }
    std::uint64_t malformedResponses() const { return m_malformedResponses; }
    std::size_t size() const { return m_backends.size(); }
    std::size_t limitedCount() const;
    // Cold servers whose requests are limited.
    std::size_t warmingCount() const;
    bool isEvacuated(std::string_view domain) const { return m_evacuations.contains(domain); }
    // Failure domains with servers that are evacuated.
    std::size_t evacuatedDomainCount() const;
    std::uint64_t connectionsOpened() const;

    // Called about once a second.
    void closeIdleConnections();

private:
    enum class EvacuationState {
        NoServer, // none is known in the failure domain so far
        Unknown, // reported as such
        Evacuated,
    };
    struct Evacuation {
        EvacuationState state = EvacuationState::NoServer;
        Common::TimePoint since;
    };

    void onEvacuated(const std::string& domain, Evacuation&);
    std::size_t serversIn(const std::string& domain) const;
    void reportUnknownDomains();
    BackendOptions optionsFor(const std::string& service);
    // The removed backend of this incarnation, if it is still remembered.
    std::shared_ptr<Backend> takeRemoved(const ServerRecord&);
    void forgetRemoved();
    void onServerLeaving(const ServerRecord&);
    double limitShare(const ServerRecord&, double perSecond) const;
    double warmupShare(const ServerRecord&, double perSecond) const;
    void onLimitChanged(const ServerRecord&, std::optional<double> perSecond, double share);
    bool hasLeft(const ServerRecord&) const;
    void onContact(const ServerRecord&, const ServerContact&);
    void onMalformed(const ServerRecord&, const std::string& detail);
    // While servers of a service are not reachable, tries a few of them, so that requests need not find out.
    void scheduleTries();
    void tryUnreachable();

    Net::EventLoop& m_loop;
    Common::EventLog& m_log;
    BackendsOptions m_options;
    std::map<std::string, Evacuation, std::less<>> m_evacuations; // by failure domain
    int m_gatewayCount = 1;
    std::string m_self;
    std::vector<std::string> m_domainMembers;
    std::size_t m_totalMembers = 1;
    std::map<std::string, Service, std::less<>> m_services;
    std::unordered_map<std::string, std::shared_ptr<Backend>> m_backends; // by id
    std::unordered_map<std::string, std::vector<std::shared_ptr<Backend>>> m_byService;
    struct ServicePath {
        Decisions::ServerReachability evidence;
        Decisions::Reachability logged = Decisions::Reachability::Reachable; // the state that was last logged
        Common::TimePoint loggedAt;
    };
    std::map<std::string, ServicePath, std::less<>> m_paths; // by service
    Net::EventLoop::TimerId m_tryTimer = 0;
    std::uint64_t m_failedContacts = 0; // requests and load probes that a server did not answer
    std::uint64_t m_malformedResponses = 0;
    std::uint64_t m_connectionsOpenedByRemoved = 0;
    // Servers that the registry has dropped. It may list the same incarnation again, and then what it said of itself still holds.
    struct Removed {
        std::shared_ptr<Backend> backend;
        Common::TimePoint at;
    };
    std::unordered_map<std::string, Removed> m_removed; // by id
    // Incarnations that said that they are leaving, by server id, oldest first in m_leftOrder. The registry may drop and list
    // them again meanwhile.
    std::map<std::string, ServerRecord, std::less<>> m_left;
    std::deque<std::string> m_leftOrder;
};

}
