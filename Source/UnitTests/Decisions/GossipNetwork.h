#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "Decisions/Membership.h"

namespace Fakes {

using Decisions::GossipActions;
using Decisions::Membership;

// Simulated network of gossiping entries in virtual time, with loss, delay, partitions, pauses and restarts. The seed makes
// runs repeatable.
class GossipNetwork {
public:
    struct Node {
        std::unique_ptr<Membership> membership {}; // null while the entry is not running
        int partition = 0; // datagrams are delivered only within one partition
        bool paused = false;
        std::uint64_t head = 0;
        std::map<std::string, Decisions::HintKind> hints {};
        std::vector<Decisions::MemberEvent> events {};
        std::size_t bytesSent = 0;
        std::size_t messagesSent = 0;
        std::size_t largestPayload = 0;
    };

    explicit GossipNetwork(std::uint64_t seed, int count, int domains = 3)
        : m_random(seed)
        , nodes(static_cast<std::size_t>(count))
    {
        for (int i = 0; i < count; ++i)
            listed.push_back({
                .peerAddress = peer(i),
                .address = "10.0.0." + std::to_string(i) + ":80",
                .failureDomain = std::string(1, static_cast<char>('a' + i % domains)),
            });
        for (int i = 0; i < count; ++i)
            start(i);
    }

    static std::string peer(int i) { return "10.0.0." + std::to_string(i) + ":81"; }

    void start(int i)
    {
        auto& node = nodes[static_cast<std::size_t>(i)];
        const auto& entry = listed[static_cast<std::size_t>(i)];
        auto startMs = static_cast<std::uint64_t>(now.time_since_epoch() / std::chrono::milliseconds(1));
        node = Node { .partition = node.partition };
        node.membership = std::make_unique<Membership>(Decisions::MembershipOptions {
            .hooks = { .now = [this] { return now; }, .random = [this] { return m_random(); } },
            .self = {
                .peerAddress = entry.peerAddress,
                .address = entry.address,
                .failureDomain = entry.failureDomain,
                .incarnation = startMs,
            },
        });
        node.membership->setInstances(listed);
    }

    void stop(int i) { nodes[static_cast<std::size_t>(i)].membership.reset(); }

    // Runs for `time` of virtual time in steps of 100 ms; `afterStep` is called after each.
    void run(
        Common::Duration time, const std::function<void()>& afterStep = [] {})
    {
        constexpr auto step = std::chrono::milliseconds(100);
        for (auto end = now + time; now < end;) {
            auto next = now + step;
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                auto offset = step * static_cast<int>(i) / static_cast<int>(nodes.size());
                deliverUntil(next - step + offset);
                if (nodes[i].membership && !nodes[i].paused)
                    apply(static_cast<int>(i), nodes[i].membership->tick());
            }
            deliverUntil(next);
            now = next;
            afterStep();
        }
    }

    // Whether the live members of every running entry are exactly the running entries, none of them suspected.
    bool converged() const
    {
        std::vector<std::string> running;
        for (const auto& node : nodes) {
            if (node.membership)
                running.push_back(node.membership->self().peerAddress);
        }
        std::sort(running.begin(), running.end());
        return std::all_of(nodes.begin(), nodes.end(), [&](const Node& node) { return !node.membership || liveMembersOf(node) == running; });
    }

    static std::vector<std::string> liveMembersOf(const Node& node)
    {
        std::vector<std::string> addresses;
        for (const auto& view : node.membership->live())
            addresses.push_back(view.record.peerAddress + (view.record.state == Decisions::MemberState::Suspect ? "?" : ""));
        std::sort(addresses.begin(), addresses.end());
        return addresses;
    }

    void apply(int from, const GossipActions& actions)
    {
        auto& node = nodes[static_cast<std::size_t>(from)];
        node.events.insert(node.events.end(), actions.events.begin(), actions.events.end());
        for (const auto& hint : actions.hints)
            node.hints[hint.server] = hint.kind;
        if (actions.head) {
            node.head = actions.head->revision;
            node.membership->setHead(node.head);
        }
        for (const auto& send : actions.sends) {
            auto payload = payloadOf(send.message);
            constexpr std::size_t headerBytes = 150;
            node.bytesSent += payload + headerBytes;
            ++node.messagesSent;
            node.largestPayload = std::max(node.largestPayload, payload);
            if (std::uniform_real_distribution<>()(m_random) < loss)
                continue;
            auto delay = std::chrono::microseconds(std::uniform_int_distribution<>(300, 5000)(m_random));
            m_inFlight.push({ .due = now + delay, .order = ++m_order, .from = from, .send = send });
        }
    }

    static std::size_t payloadOf(const Decisions::GossipMessage& message)
    {
        auto bytes = Decisions::encodedBytes(message.sender);
        for (const auto& update : message.updates)
            bytes += Decisions::encodedBytes(update);
        for (const auto& hint : message.hints)
            bytes += Decisions::encodedBytes(hint);
        return bytes;
    }

private:
    // Ordered so that a priority queue returns the datagram that is due first.
    struct Datagram {
        Common::TimePoint due;
        std::uint64_t order = 0;
        int from = 0;
        Decisions::GossipSend send;

        bool operator<(const Datagram& other) const { return std::tie(other.due, other.order) < std::tie(due, order); }
    };

    void deliverUntil(Common::TimePoint end)
    {
        while (!m_inFlight.empty() && m_inFlight.top().due <= end) {
            auto datagram = m_inFlight.top();
            m_inFlight.pop();
            now = std::max(now, datagram.due);
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                auto& node = nodes[i];
                if (blocked(datagram.from, static_cast<int>(i)))
                    continue;
                if (listed[i].peerAddress != datagram.send.to || !node.membership || node.paused
                    || node.partition != nodes[static_cast<std::size_t>(datagram.from)].partition)
                    continue;
                apply(static_cast<int>(i), node.membership->receive(datagram.send.message));
            }
        }
        now = std::max(now, end);
    }

    std::mt19937_64 m_random;
    std::priority_queue<Datagram> m_inFlight;
    std::uint64_t m_order = 0;

public:
    Common::TimePoint now { std::chrono::hours(1) };
    double loss = 0;
    std::function<bool(int from, int to)> blocked = [](int, int) { return false; };
    std::vector<Decisions::ListedEntry> listed;
    std::vector<Node> nodes;
};

}
