#pragma once

#include <mutex>
#include <span>

#include "Controllers/BackendServers.h"
#include "Controllers/Members.h"
#include "Controllers/RecordController.h"
#include "Controllers/RecordSync.h"

namespace Entry {

struct PeerLinkOptions {
    Controllers::MembersOptions members;
    // Probes a second that this entry spends on a service; empty where nothing is measured.
    std::function<double(const std::string& service)> probesPerSecond {};
};

// What one entry and the others are to each other: gossip, records handed on, answers to peers' and operators' questions.
class PeerLink {
public:
    PeerLink(PeerLinkOptions, Controllers::RecordController&, Controllers::RecordSync&, Controllers::BackendServers&, Common::EventLog&);

    // Binds the peer address and gives the record sync its peers; before the sync is started. Error: Internal.
    Common::Result<void> bind();
    void start(const std::string& address);
    void stop() { m_members.stop(); }

    // To be called with each look at the list, after the records in force were applied.
    void refreshed(std::span<const Platform::Instance>);

    Controllers::Members& members() { return m_members; }
    const Controllers::Members& members() const { return m_members; }

    // Whether this entry has the newest records, and its shares of connections and probes are in use.
    bool ready() const;

private:
    Controllers::MembersOptions memberOptions();
    Common::Result<Records::RecordUpdate> fetch(std::uint64_t since) const;
    std::string choosePeer(std::uint64_t since) const;
    void announceRecords();
    Json::Value status() const;
    Json::Value servicesStatus() const;
    Json::Value serversStatus() const;

    PeerLinkOptions m_options;
    Controllers::RecordController& m_records;
    Controllers::RecordSync& m_sync;
    Controllers::BackendServers& m_servers;
    Common::EventLog& m_log;
    Common::TimePoint m_started;
    std::string m_address;
    Controllers::Members m_members; // last: its threads use the others
};

}
