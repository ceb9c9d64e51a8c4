#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "Common/EventLog.h"
#include "Common/Snapshot.h"
#include "Decisions/Carriers.h"
#include "Decisions/Membership.h"
#include "Peers/GossipSocket.h"
#include "Peers/PeerClient.h"
#include "Peers/PeerServer.h"
#include "Platform/Platform.h"

namespace Controllers {

struct MembersOptions {
    Common::Hooks hooks;
    std::string peerAddress; // ip:port to bind, TCP and UDP; port 0 lets the kernel choose
    std::string failureDomain;
    std::string sharedKey;
    Decisions::CarrierRule carrierRule {};
    // Whether a datagram to this peer address is sent; tests and measurements lose some by it.
    std::function<bool(const std::string& to)> passes = [](const auto&) { return true; };
    // Called on the gossip thread before each tick.
    std::function<void()> beforeTick = [] {};
    // Called on a thread of its own when `from`, a peer address, has a newer revision in force; the newest wins.
    std::function<void(std::uint64_t revision, const std::string& from)> onHead = [](auto, const auto&) {};
    // Called on the gossip thread for each hint that is news here; must not block.
    std::function<void(const Decisions::ServerHint&)> onHint = [](const auto&) {};
};

// One line of the directory's answer.
struct DirectoryEntry {
    std::string address;
    std::string failureDomain;
};

// The live entries and who carries what: gossip over UDP, JSON-RPC for peers and operators, directory and shares. Thread-safe.
class Members {
public:
    Members(MembersOptions, Common::EventLog&);
    ~Members();
    Members(const Members&) = delete;
    Members& operator=(const Members&) = delete;

    // Binds the peer address, so that its port is known. Error: Internal.
    Common::Result<void> bind();
    // Before start().
    void addMethod(const std::string& name, Peers::JsonRpcHandler);
    // Gossips and serves peers; `address` is where callers reach this entry.
    void start(const std::string& address);
    void stop();

    void setInstances(std::span<const Platform::Instance>);
    // Services with their number of backend servers.
    void setServices(std::map<std::string, std::size_t>);
    void setHead(std::uint64_t revision);
    void setAvailability(bool ready, const std::vector<std::string>& unavailableServices);
    void publishHint(const Decisions::ServerHint&);
    // From now on no directory names this entry.
    void announceLeaving();

    Decisions::CarrierShare share(const std::string& service) const;
    // Whether the shares of the services known at the start have come into use; it never goes back.
    bool settled() const { return m_settled; }
    // Live entries that carry the service, this failure domain's first, each group in an order that varies by call.
    std::vector<DirectoryEntry> directory(const std::string& service) const;
    // Whether this entry is one of those of its failure domain that poll the store for all; true before start().
    bool isReader() const;
    std::shared_ptr<const std::vector<Decisions::MemberView>> view() const { return m_view.get(); }
    std::string peerAddress() const;
    const Peers::PeerClient& client() const { return *m_client; }
    Peers::GossipTraffic traffic() const;
    std::uint64_t refused() const;

private:
    struct Service {
        Decisions::CarrierShare share {};
        std::vector<DirectoryEntry> carriers {};
    };
    using Services = std::map<std::string, Service, std::less<>>;

    void tickLoop();
    void headLoop();
    void receive(const Decisions::GossipMessage&);
    void carryOut(Decisions::GossipActions);
    void send(std::vector<Decisions::GossipSend>&);
    void report(const Decisions::MemberEvent&);
    void noteRefused(const std::string& reason);
    void publishView();
    void assignCarriers();
    Service assign(const std::string& service, std::size_t servers, std::span<const Decisions::MemberRecord> live, std::span<const Decisions::MemberRecord> known);

    MembersOptions m_options;
    Common::EventLog& m_log;
    Poco::Net::ServerSocket m_listener;
    Poco::Net::DatagramSocket m_datagrams;
    std::unique_ptr<Peers::MessageSeal> m_seal;
    std::unique_ptr<Peers::PeerClient> m_client;
    std::unique_ptr<Peers::GossipSocket> m_gossip;
    std::unique_ptr<Peers::PeerServer> m_server;

    mutable std::mutex m_mutex; // guards m_membership and what is to be told to it before it exists
    std::unique_ptr<Decisions::Membership> m_membership;
    std::vector<Decisions::ListedEntry> m_listed;
    std::uint64_t m_head = 0;
    bool m_ready = true;
    std::vector<std::uint32_t> m_unavailableServices;

    std::mutex m_assignMutex; // guards the next two
    std::map<std::string, std::size_t> m_serviceSizes;
    std::unique_ptr<Decisions::CarrierShares> m_shares;

    Common::Snapshot<std::vector<Decisions::MemberView>> m_view;
    Common::Snapshot<std::map<std::string, std::string>> m_nameable; // address -> failure domain, of members that directories may name
    Common::Snapshot<Services> m_services;
    std::atomic<bool> m_viewChanged { true };
    std::atomic<bool> m_settled { false };
    std::atomic<std::int64_t> m_refusalLoggedMs { 0 };

    std::mutex m_wakeMutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::optional<Decisions::RemoteHead> m_pendingHead;
    std::thread m_ticker;
    std::thread m_headFollower;
};

}
