#include "Entry/PeerLink.h"

#include "Peers/TimelineEvent.h"

namespace Entry {

namespace {

    using Decisions::MemberState;

    constexpr std::array memberStateNames {
        Common::EnumName<MemberState> { MemberState::Alive, "alive" },
        Common::EnumName<MemberState> { MemberState::Suspect, "suspect" },
        Common::EnumName<MemberState> { MemberState::Failed, "failed" },
    };

    Json::Value toJson(const Decisions::MemberView& member)
    {
        Json::Value json;
        json["peer_address"] = member.record.peerAddress;
        json["address"] = member.record.address;
        json["failure_domain"] = member.record.failureDomain;
        json["incarnation"] = Json::UInt64(member.record.incarnation);
        json["state"] = std::string(Common::nameOf(memberStateNames, member.record.state));
        json["leaving"] = member.record.leaving;
        json["ready"] = member.record.ready;
        json["revision"] = Json::UInt64(member.headRevision);
        return json;
    }

}

PeerLink::PeerLink(PeerLinkOptions options, Controllers::RecordController& records, Controllers::RecordSync& sync, Controllers::BackendServers& servers, Common::EventLog& log)
    : m_options(std::move(options))
    , m_records(records)
    , m_sync(sync)
    , m_servers(servers)
    , m_log(log)
    , m_started(m_options.members.hooks.now())
    , m_members(memberOptions(), log)
{
}

Controllers::MembersOptions PeerLink::memberOptions()
{
    auto options = m_options.members;
    options.onHead = [this](auto revision, const auto&) { m_sync.onHeadSeen(revision); };
    options.onHint = [this](const auto& hint) { m_servers.applyHint(hint); };
    options.beforeTick = [this] { announceRecords(); };
    return options;
}

Common::Result<void> PeerLink::bind()
{
    auto bound = m_members.bind();
    if (!bound)
        return bound;
    m_sync.setPeers({
        .isReader = [this] { return m_members.isReader(); },
        .fetch = [this](std::uint64_t since) { return fetch(since); },
        // The head goes out at once, and whoever hears of it fetches the change from here.
        .push = [this](const Records::RecordUpdate&) { announceRecords(); },
    });
    m_members.addMethod("changes", [this](const Json::Value& parameters) {
        Json::Value answer;
        answer["update"] = Records::encodeUpdate(m_records.updateSince(parameters["since"].asUInt64()));
        return answer;
    });
    m_members.addMethod("snapshot", [this](const Json::Value&) {
        Json::Value answer;
        answer["update"] = Records::encodeUpdate(m_records.updateSince(0));
        return answer;
    });
    m_members.addMethod("events", [this](const Json::Value& parameters) {
        return Peers::toJson(Peers::readEvents(m_log, m_address, Peers::toEventsRequest(parameters)));
    });
    m_members.addMethod("status", [this](const Json::Value&) { return status(); });
    return bound;
}

void PeerLink::start(const std::string& address)
{
    m_address = address;
    announceRecords();
    m_members.start(address);
}

void PeerLink::refreshed(std::span<const Platform::Instance> instances)
{
    std::map<std::string, std::size_t> services;
    auto records = m_records.current();
    for (const auto& [service, record] : records->services)
        services[service] = m_servers.view(service).size();
    m_members.setInstances(instances);
    m_members.setServices(std::move(services));
}

// The revision in force here and what may be offered with it.
void PeerLink::announceRecords()
{
    auto records = m_records.current();
    m_members.setHead(records->revision);
    m_members.setAvailability(m_sync.ready(), { records->notUnderstood.begin(), records->notUnderstood.end() });
}

bool PeerLink::ready() const
{
    return m_sync.ready() && m_members.settled();
}

// A random ready entry, one that is known to have more than `since` where there is any; empty where there is none.
std::string PeerLink::choosePeer(std::uint64_t since) const
{
    std::vector<std::string> ready;
    std::vector<std::string> ahead;
    auto view = m_members.view();
    for (const auto& member : *view) {
        const auto& record = member.record;
        if (record.peerAddress == m_members.peerAddress() || record.state != MemberState::Alive || !record.ready)
            continue;
        ready.push_back(record.peerAddress);
        if (member.headRevision > since)
            ahead.push_back(record.peerAddress);
    }
    const auto& peers = ahead.empty() ? ready : ahead;
    return peers.empty() ? std::string() : peers[Common::randomBelow(m_options.members.hooks, peers.size())];
}

Common::Result<Records::RecordUpdate> PeerLink::fetch(std::uint64_t since) const
{
    using Common::Error;
    using Common::ResultCode;
    auto peer = choosePeer(since);
    if (peer.empty())
        return Error { ResultCode::PeerUnreachable, "no other entry is ready" };
    Json::Value parameters;
    parameters["since"] = Json::UInt64(since);
    auto answer = m_members.client().call(peer, "changes", parameters);
    if (!answer)
        return answer.error();
    auto update = answer.value()["update"].isString() ? Records::decodeUpdate(answer.value()["update"].asString()) : std::nullopt;
    if (!update)
        return Error { ResultCode::PeerUnreachable, peer + ": the answer is no update of records" };
    return *update;
}

Json::Value PeerLink::status() const
{
    constexpr double msPerSecond = 1000;
    auto traffic = m_members.traffic();
    auto seconds = Common::toMilliseconds(m_options.members.hooks.now() - m_started) / msPerSecond;
    Json::Value json;
    json["address"] = m_address;
    json["peer_address"] = m_members.peerAddress();
    json["failure_domain"] = m_options.members.failureDomain;
    json["revision"] = Json::UInt64(m_records.current()->revision);
    json["refused"] = Json::UInt64(m_members.refused());
    json["gossip"]["messages_sent"] = Json::UInt64(traffic.messagesSent);
    json["gossip"]["messages_received"] = Json::UInt64(traffic.messagesReceived);
    json["gossip"]["not_sent"] = Json::UInt64(traffic.notSent);
    json["gossip"]["bytes_per_second"] = Json::UInt64(static_cast<double>(traffic.bytesSent + traffic.bytesReceived) / std::max(1.0, seconds));
    json["members"] = Json::arrayValue;
    auto view = m_members.view();
    for (const auto& member : *view) {
        json["members"].append(toJson(member));
        if (member.record.peerAddress != m_members.peerAddress())
            continue;
        json["ready"] = member.record.ready;
        json["leaving"] = member.record.leaving;
    }
    json["services"] = servicesStatus();
    json["servers"] = serversStatus();
    return json;
}

Json::Value PeerLink::servicesStatus() const
{
    Json::Value services(Json::arrayValue);
    auto records = m_records.current();
    for (const auto& [name, record] : records->services) {
        auto share = m_members.share(name);
        Json::Value json;
        json["service"] = name;
        json["carries"] = share.carries;
        json["carriers"] = share.carriers;
        json["divisor"] = share.maxRecentCarriers;
        json["offered"] = records->offered(name);
        json["probe_budget"] = record->probeBudget;
        if (m_options.probesPerSecond)
            json["probes_per_second"] = m_options.probesPerSecond(name);
        services.append(json);
    }
    return services;
}

Json::Value PeerLink::serversStatus() const
{
    Json::Value servers(Json::arrayValue);
    auto records = m_records.current();
    for (const auto& [name, record] : records->services) {
        for (const auto& server : m_servers.view(name)) {
            Json::Value json;
            json["service"] = name;
            json["server"] = server.address;
            json["failure_domain"] = server.failureDomain;
            json["in_flight"] = server.inFlight;
            json["state"] = server.eligible ? "live" : "no work";
            servers.append(json);
        }
    }
    return servers;
}

}
