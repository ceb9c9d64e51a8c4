#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "Common/Clock.h"

namespace Decisions {

// What a gateway can do with the servers of one service.
enum class Reachability {
    Reachable,
    NoNewConnections, // open connections work, new ones fail
    Unreachable,
};

// Judges a gateway's paths to the servers of one service by the outcomes of its own requests and load probes. One process can't
// tell a path that is cut from servers that are all down: other gateways have to be asked.
class ServerReachability {
public:
    // Outcome of a request or load probe: an answer of any kind, or a connection that failed or stayed silent.
    struct Contact {
        std::uint64_t server = 0; // digest of its id
        bool answered = false;
        bool isNewConnection = false;
        Common::TimePoint sentAt;
    };

    void record(const Contact&, Common::TimePoint now);
    // `servers`: number of usable servers of the service; only called while there are failures, since counting takes time.
    Reachability state(const std::function<std::size_t()>& servers, Common::TimePoint now) const;
    // Servers that have failed since the last answer, or since the last one over a new connection.
    std::size_t failedServers(Common::TimePoint now) const { return m_all.failedServers(now); }
    std::size_t failedServersOfNewConnections(Common::TimePoint now) const { return m_newConnections.failedServers(now); }
    // When a server last answered; nullopt before the first answer.
    std::optional<Common::TimePoint> lastAnswer() const { return m_all.lastAnswer; }

private:
    // Failures of distinct servers after which no request was answered.
    struct Evidence {
        std::optional<Common::TimePoint> lastAnswer;
        std::map<std::uint64_t, Common::TimePoint> failedAt; // by server

        void record(const Contact&, Common::TimePoint now);
        std::size_t failedServers(Common::TimePoint now) const;
        bool isCut(const std::function<std::size_t()>& servers, Common::TimePoint now) const;
    };

    Evidence m_all;
    Evidence m_newConnections;
};

}
